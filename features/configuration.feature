Feature: Configurations reach every daemon and are never reverted or merged
  Each accepted patch gets the next configuration number; daemons only move to higher
  numbers.

  @fresh_fleet
  Scenario: Of concurrent patches, exactly one gets each number
    When 3 operators concurrently submit 8 patches each to all daemons
    Then each number was given to exactly one patch and none is missing
    And within 15 s every daemon has the last number in force
    And the audit lists each accepted patch once, with its operator

  @fresh_fleet
  Scenario: A repeated patch id is answered as before
    When a patch is sent twice with one id
    Then both answers contain the same number
    And a third with another id against the old number is refused as stale_number

  @fresh_fleet
  Scenario: The answer of the object API to a patch is lost
    Given the next 2 answers of the object API to writes of configurations are lost
    When a patch is sent once
    Then the answer contains the number that it produced
    And within 15 s every daemon has the last number in force

  @fresh_fleet
  Scenario: An invalid patch changes nothing and is refused with its faults
    When a patch without operators is sent
    Then it is refused as invalid_configuration and the faults contain $.operators
    And the number in force is still 1

  @fresh_fleet
  Scenario: A daemon that starts during an outage gets the configuration from others
    When a patch is sent once
    And the object API goes down and the third daemon is restarted
    Then it is ready within 15 s with the last number in force
    And it serves a complete summary while the object API is down

  @fresh_fleet
  Scenario Outline: A patch after the object API came back from an older copy is in force
    Given a copy of the object API from before 3 patches
    When the object API comes back from the copy <trouble>
    And a patch against the last number is sent
    Then the answer contains the number after the last one
    And within 15 s every daemon has the last number in force

    Examples:
      | trouble             |
      | at once             |
      | twice               |
      | with the third daemon starting again |

  @fresh_fleet
  Scenario: Patches that the object API lost are written back
    Given a copy of the object API from before 3 patches
    When the object API comes back from the copy at once
    Then within 15 s the object API has the last number
    And all daemons that start again have the last number in force within 15 s

  Scenario: Configuration numbers never decrease on a daemon
    When 3000 generated sequences of audit entries reach a daemon
    Then its number never decreased and its document always matches its number
