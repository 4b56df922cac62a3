Feature: Entry hosts die, pause and stop
  Callers go on being served, and what must hold does, whatever becomes of an entry host.

  Scenario: A host dies under load
    Given a fleet of 3 hosts
    And callers of every tier
    When host entry-1 is killed after 2 seconds
    And callers go on for 4 seconds
    Then the promises hold
    And every caller was answered since the failure

  Scenario: A host dies and another one at once
    Given a fleet of 4 hosts
    And callers of every tier
    When host entry-1 is killed after 1 second
    And host entry-2 is killed after 0 seconds
    And callers go on for 5 seconds
    Then the promises hold
    And every caller was answered since the failure

  Scenario: A host is paused and comes back
    Given a fleet of 3 hosts
    And callers of every tier
    When host entry-1 is paused for 3 seconds
    And callers go on for 4 seconds
    Then the promises hold
    And every host sees 3 live hosts

  Scenario: A planned stop cuts nothing off
    Given a fleet of 3 hosts
    And callers of every tier
    And callers with long streams
    When host entry-2 is told to stop after 2 seconds
    And callers go on for 4 seconds
    Then the promises hold
    And host entry-2 has ended by itself
    And no caller was cut off

  Scenario: One key through two hosts, and one of them dies
    Given a fleet of 3 hosts
    And callers that send each key through two hosts
    When host entry-1 is killed after 2 seconds
    And callers go on for 4 seconds
    Then the promises hold
    And some calls ran under a key

  Scenario: The hosts lose one another and find one another again
    Given a fleet of 3 hosts with links that can fail
    And callers of every tier
    When the hosts lose one another for 6 seconds
    And callers go on for 5 seconds
    Then every host sees 3 live hosts
    And the promises hold
    And every caller was answered since the failure
