Feature: Moves between versions of a service
  A move to a healthy version completes by its deadline.
  A move to a failing version is taken back, which means rolled back.

  Scenario: A move to a failing version is taken back while the store is unavailable
    Given a fleet of 3 hosts
    And callers of every tier
    And a new version v2 of the registry that fails half of its requests
    When the move to v2 starts with 20 seconds until its deadline
    And the store is unavailable
    Then the new version gets no requests later than 2 seconds after its fifth failure
    And the new version got at most 5 percent of the requests
    When the store is available again
    Then every host reports the move as taken back
    And all invariants hold

  Scenario: A move to a healthy version completes while the store is unavailable
    Given a fleet of 3 hosts
    And callers of every tier
    And a new version v2 of the registry that is healthy
    When the move to v2 starts with 12 seconds until its deadline
    And the store is unavailable
    Then only the new version serves after the deadline of the move
    When the store is available again
    Then every host reports the move as done
    And all invariants hold

  Scenario: The host that evaluates a move is killed
    Given a fleet of 3 hosts
    And callers of every tier
    And a new version v2 of the registry that fails half of its requests
    When the move to v2 starts with 20 seconds until its deadline
    And the host that owns the registry is killed
    Then every host reports the move as taken back
    And all invariants hold
