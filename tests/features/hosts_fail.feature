Feature: Failures and stops of entry hosts
  Callers are served and all invariants hold when an entry host is killed, paused or stopped.

  Scenario: A host is killed under load
    Given a fleet of 3 hosts
    And callers of every tier
    When host entry-1 is killed after 2 seconds
    And load continues for 4 seconds
    Then all invariants hold
    And callers of every tier got complete answers after the failure

  Scenario: Two hosts are killed at the same time
    Given a fleet of 4 hosts
    And callers of every tier
    When host entry-1 is killed after 1 second
    And host entry-2 is killed after 0 seconds
    And load continues for 5 seconds
    Then all invariants hold
    And callers of every tier got complete answers after the failure

  Scenario: A paused host resumes
    Given a fleet of 3 hosts
    And callers of every tier
    When host entry-1 is paused for 3 seconds
    And load continues for 4 seconds
    Then all invariants hold
    And every host sees 3 live hosts

  Scenario: A graceful stop cuts off no answer
    Given a fleet of 3 hosts
    And callers of every tier
    And callers with long streams
    When host entry-2 is stopped gracefully after 2 seconds
    And load continues for 4 seconds
    Then all invariants hold
    And host entry-2 has exited with code 0
    And no answer was cut off

  Scenario: One of two hosts that receive the same idempotency keys is killed
    Given a fleet of 3 hosts
    And callers that send each idempotency key through two hosts
    When host entry-1 is killed after 2 seconds
    And load continues for 4 seconds
    Then all invariants hold
    And some calls with an idempotency key ran

  Scenario: A network partition between all hosts heals
    Given a fleet of 3 hosts with fault proxies between them
    And callers of every tier
    When the hosts are partitioned from one another for 6 seconds
    And load continues for 5 seconds
    Then every host sees 3 live hosts
    And all invariants hold
    And callers of every tier got complete answers after the failure
