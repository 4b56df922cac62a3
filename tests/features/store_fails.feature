Feature: The key-value service is away, slow or old
  Requests are served without it, and an accepted catalogue stays in force.

  Scenario: The store is away under load
    Given a fleet of 3 hosts
    And callers of every tier
    When the store is away
    And callers go on for 4 seconds
    And the store is back
    And callers go on for 2 seconds
    Then the promises hold
    And every caller was answered since the failure

  Scenario: A host starts while the store is away
    Given a fleet of 3 hosts with 1 more planned
    When the store is away
    And the planned host starts
    Then every host has the same catalogue in force

  Scenario: A change whose answer is lost is settled by reading
    Given a fleet of 3 hosts
    When the store loses the answers of the next 1 writes
    And an operator puts organisation newcomer
    Then the command succeeds
    And the history of organisation newcomer shows 1 change
    And the change was in force on every host within 4 seconds

  Scenario: A change comes into force though every watch is cut
    Given a fleet of 3 hosts
    When every watch of the store is cut
    And an operator puts organisation newcomer
    Then the command succeeds
    And the change was in force on every host within 4 seconds

  Scenario: A slow store delays nobody
    Given a fleet of 3 hosts
    When the store answers after 800 milliseconds
    And an operator puts organisation newcomer
    Then the command succeeds
    And the change was in force on every host within 4 seconds

  Scenario: The store comes back old
    Given a fleet of 3 hosts
    When the store's state is noted
    And an operator puts organisation newcomer
    And the store comes back with the noted state
    And an operator puts organisation latecomer until it is accepted
    Then every host has the same catalogue in force
    And every host knows organisation newcomer
    And every host knows organisation latecomer

  Scenario: Two operators race on one entry
    Given a fleet of 3 hosts
    When two operators put organisation newcomer at once
    Then one of them got a conflict with what is there now

  Scenario: The store is away while a host dies
    Given a fleet of 3 hosts
    And callers of every tier
    When the store is away
    And host entry-3 is killed after 1 second
    And callers go on for 4 seconds
    And the store is back
    And callers go on for 1 second
    Then the promises hold
    And every caller was answered since the failure
