Feature: Daemons of our own interface that are cut off from backend servers serve callers

  @cuttable_fleet
  Scenario Outline: <n> of 3 daemons cut off from all backend servers serve <what>
    When <n> daemons are cut off from all backend servers
    And callers send <what> to the cut daemons for 3 s
    And callers send <what> to the cut daemons for 3 s
    Then at least 19 in 20 of the latter were answered
    And no booking was executed twice

    Examples:
      | n | what      |
      | 1 | summaries |
      | 2 | summaries |
      | 1 | bookings  |
      | 2 | bookings  |

  @cuttable_fleet
  Scenario: A cut daemon connects directly again after its links are healed
    When 1 daemons are cut off from all backend servers
    And callers send bookings to the cut daemons for 3 s
    And the links of the daemons are healed
    And callers send bookings to the cut daemons for 3 s
    Then at least 19 in 20 of the latter were answered
    And the cut daemons log that the links are healed
