Feature: Drained, failing and unreachable upstreams
  A request that may have run is never dispatched again and never reported as not run.

  Scenario: A drained upstream gets no new requests
    Given a fleet of 3 hosts
    And callers of every tier
    When upstream registry-1 is drained
    And load continues for 5 seconds
    Then all invariants hold
    And upstream registry-1 got no requests later than 3 seconds after its drain

  Scenario: Connections to an upstream are reset under load
    Given a fleet of 3 hosts
    And callers of every tier
    When the connections to registry-1 are reset 5 times
    And load continues for 1 second
    Then all invariants hold

  Scenario: An upstream accepts requests and never answers
    Given a fleet of 3 hosts
    And callers of every tier
    When the links to registry-1 stop forwarding data for 2 seconds
    And load continues for 2 seconds
    Then all invariants hold

  Scenario: The lowest tier is shed under overload
    Given a fleet of 3 hosts
    And callers of every tier
    And more load of the lowest tier than the engines can serve
    When load continues for 6 seconds
    Then all invariants hold
    And every caller of tier 0 was served
    And every caller of tier 2 was served
    And some callers of tier 3 were shed
