Feature: An engine of our own interface gets no more requests than the rate it names

  @fresh_fleet
  Scenario: One of two engines names a rate
    Given the first engine names a rate of 2 requests a second
    When callers send 30 summaries a second over all daemons for 8 s
    Then the first engine gets at most 17 requests in any 4 s
    And nine in ten summaries were answered in time

  @fresh_fleet
  Scenario: Both engines name a rate
    Given both engines name a rate of 4 requests a second
    When callers send 30 summaries a second over all daemons for 8 s
    Then each engine gets at most 29 requests in any 4 s
    And summaries that were not answered were refused as not run
