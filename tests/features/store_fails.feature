Feature: Failures of the key-value store
  Hosts serve requests without the store, and an accepted catalogue stays in force.

  Scenario: The store is unavailable under load
    Given a fleet of 3 hosts
    And callers of every tier
    When the store is unavailable
    And load continues for 4 seconds
    And the store is available again
    And load continues for 2 seconds
    Then all invariants hold
    And callers of every tier got complete answers after the failure

  Scenario: A host starts while the store is unavailable
    Given a fleet of 3 hosts with 1 more prepared
    When the store is unavailable
    And the prepared host starts
    Then every host has the same catalogue in force

  Scenario: A write whose answer is lost is resolved by reading
    Given a fleet of 3 hosts
    When the store loses the answers of the next 1 writes
    And an operator puts organisation newcomer
    Then the command succeeds
    And the history of organisation newcomer shows 1 change
    And the change was in force on every host within 4 seconds

  Scenario: A change takes effect though all watches are closed
    Given a fleet of 3 hosts
    When every watch of the store is closed
    And an operator puts organisation newcomer
    Then the command succeeds
    And the change was in force on every host within 4 seconds

  Scenario: A change takes effect though the store is slow
    Given a fleet of 3 hosts
    When the store answers after 800 milliseconds
    And an operator puts organisation newcomer
    Then the command succeeds
    And the change was in force on every host within 4 seconds

  Scenario: The store is restored from an old snapshot
    Given a fleet of 3 hosts
    When a snapshot of the store is taken
    And an operator puts organisation newcomer
    And the store is restored from the snapshot
    And an operator puts organisation latecomer until it is accepted
    Then every host has the same catalogue in force
    And every host has organisation newcomer
    And every host has organisation latecomer

  Scenario: Two operators write the same entry concurrently
    Given a fleet of 3 hosts
    When two operators put organisation newcomer concurrently
    Then one of them got a conflict that shows the current entry

  Scenario: A host is killed while the store is unavailable
    Given a fleet of 3 hosts
    And callers of every tier
    When the store is unavailable
    And host entry-3 is killed after 1 second
    And load continues for 4 seconds
    And the store is available again
    And load continues for 1 second
    Then all invariants hold
    And callers of every tier got complete answers after the failure
