Feature: A burst of 1.4 upon the loss of a zone is served
  Replays the decisions on the size of a fleet in virtual time. First tokens stay within
  their objective up to a load of 0.6 of the servers' time (`GUARANTEED_LOAD`).

  # Guards against a fleet without the reserve for a zone, where others can be ordered.
  Scenario Outline: A zone of <zones> is lost at the work of <work> servers
    When a zone of <zones> is lost in a burst of 1.4 on <work> servers' work, and reclaimable servers are refused there for 20 s
    Then the servers are busy for at most 0.6 of their time
    And no request starts late

    Examples:
      | zones | work |
      | 3 | 0.84 |
      | 3 | 1.2 |
      | 3 | 3 |
      | 3 | 6 |
      | 3 | 20 |
      | 4 | 0.84 |
      | 4 | 1.2 |
      | 4 | 3 |
      | 4 | 6 |
      | 4 | 20 |

  # Guards against a reserve that must first be ordered when nothing is to be had.
  Scenario Outline: No zone has reclaimable servers after a loss of one of <zones>, at <work>
    When a zone of <zones> is lost in a burst of 1.4 on <work> servers' work, and reclaimable servers are refused everywhere for 20 s
    Then the servers are busy for at most 0.6 of their time
    And no request starts late
    And a fixed fleet of the same cost is no less busy

    Examples:
      | zones | work |
      | 3 | 0.84 |
      | 3 | 1.2 |
      | 3 | 3 |
      | 3 | 6 |
      | 3 | 20 |
      | 4 | 0.84 |
      | 4 | 1.2 |
      | 4 | 3 |
      | 4 | 6 |
      | 4 | 20 |

  # With two zones, half of the servers are lost; the gap is filled in the time of a boot.
  Scenario Outline: One of two zones is lost at the work of <work> servers
    When a zone of 2 is lost in a burst of 1.4 on <work> servers' work, and reclaimable servers are refused <where> for 20 s
    Then no request starts late

    Examples:
      | work | where      |
      | 0.84 | there      |
      | 0.84 | everywhere |
      | 3    | there      |
      | 3    | everywhere |
      | 20   | there      |
      | 20   | everywhere |
