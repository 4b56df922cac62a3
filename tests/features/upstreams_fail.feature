Feature: Upstreams leave, fail and are cut off
  Work that may have run is never run again, and never called "not run".

  Scenario: A leaving upstream gets no new work
    Given a fleet of 3 hosts
    And callers of every tier
    When upstream registry-1 is drained
    And callers go on for 5 seconds
    Then the promises hold
    And upstream registry-1 got no work later than 3 seconds after that

  Scenario: The links to an upstream are cut under load
    Given a fleet of 3 hosts
    And callers of every tier
    When the links to registry-1 are cut 5 times
    And callers go on for 1 second
    Then the promises hold

  Scenario: An upstream takes requests and never answers
    Given a fleet of 3 hosts
    And callers of every tier
    When the links to registry-1 go silent for 2 seconds
    And callers go on for 2 seconds
    Then the promises hold

  Scenario: Capacity is short
    Given a fleet of 3 hosts
    And callers of every tier
    And more callers of the lowest tier than the engines can serve
    When callers go on for 6 seconds
    Then the promises hold
    And every caller of tier 0 was served
    And every caller of tier 2 was served
    And some callers of tier 3 were shed
