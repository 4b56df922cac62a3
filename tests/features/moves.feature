Feature: Moves between versions
  A good version is complete by its deadline; a bad one is taken back and gets no more requests.

  Scenario: A bad version is taken back while the store is away
    Given a fleet of 3 hosts
    And callers of every tier
    And a new version v2 of the registry that fails half of its requests
    When the move to v2 starts with 20 seconds to go
    And the store is away
    Then the new version gets no requests later than 2 seconds after its fifth failure
    And the new version got at most 5 percent of the requests
    When the store is back
    Then every host reports the move as taken back
    And the promises hold

  Scenario: A good version is complete though the store is away
    Given a fleet of 3 hosts
    And callers of every tier
    And a new version v2 of the registry that is good
    When the move to v2 starts with 12 seconds to go
    And the store is away
    Then only the new version serves after the deadline of the move
    When the store is back
    Then every host reports the move as done
    And the promises hold

  Scenario: The judging host dies during a move
    Given a fleet of 3 hosts
    And callers of every tier
    And a new version v2 of the registry that fails half of its requests
    When the move to v2 starts with 20 seconds to go
    And the host that owns the registry is killed
    Then every host reports the move as taken back
    And the promises hold
