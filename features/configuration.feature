Feature: A configuration in force everywhere, never reverted, never merged
  Operators patch a numbered document; daemons move only to higher numbers.

  @fresh_fleet
  Scenario: Operators race, one of them wins each number
    When 3 operators race 8 patches each at all daemons
    Then each number was given to one patch and none is missing
    And within 15 s every daemon has the last number in force
    And the audit names each accepted patch with its operator, once

  @fresh_fleet
  Scenario: A repeated patch id is answered as before
    When a patch is sent twice with one id
    Then both answers name the same number
    And a third with another id against the old number is refused as stale_number

  @fresh_fleet
  Scenario: The store loses the answer to a patch
    Given the object API loses the next 2 answers to writes of configurations
    When a patch is sent once
    Then it is answered with the number it produced
    And within 15 s every daemon has the last number in force

  @fresh_fleet
  Scenario: An invalid patch changes nothing and names each fault
    When a patch without operators is sent
    Then it is refused as invalid_configuration and names $.operators
    And the number in force is still 1

  @fresh_fleet
  Scenario: A daemon that starts during an outage has the configuration from neighbours
    When a patch is sent once
    And the object API goes down and the third daemon is restarted
    Then it is ready within 15 s with the last number in force
    And it serves a whole summary while the object API is down

  Scenario: Watchers are few and numbers never go back
    When 3000 generated orders of documents and deltas reach a daemon
    Then its number never went back and its document is always the one of its number
