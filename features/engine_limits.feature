Feature: Daemons of our own interface keep to what an engine says in its answers

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

  @fresh_fleet
  Scenario: An engine says in its answers only that it leaves
    Given the first engine says that it leaves, in its answers only
    When callers send 30 summaries a second over all daemons for 5 s
    Then the first engine gets no request later than 0.5 s after its first answer
    And nine in ten summaries were answered in time

  @fresh_fleet
  Scenario: A server of a service says in its answers only that it leaves
    Given the first server of the service says that it leaves, in its answers only
    When callers send 60 look-ups one after the other over all daemons
    Then that server gets no call later than 0.5 s after its first answer
    And all look-ups were answered
