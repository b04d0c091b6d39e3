Feature: A service's traffic moves to a new version by order, unless the version is bad

  # In virtual time: 70 daemons whose reports and whose holder's words take their time.
  Scenario Outline: A good version at <rate> requests a second is complete in <duration> s
    Given an order of <duration> s for a service with <rate> requests a second
    When 12 runs are drawn with a version that is good
    Then each run ends complete before the deadline, within the exposure limit until then

    Examples:
      | rate | duration |
      | 1    | 12       |
      | 8    | 12       |
      | 40   | 12       |
      | 300  | 12       |
      | 8    | 60       |
      | 40   | 60       |
      | 300  | 60       |

  # A service whose servers are sometimes slow was taken for a bad version.
  Scenario Outline: A good version of a service with <slow> slow and <failed> failed answers
    Given an order of 60 s for a service with 120 requests a second
    And both versions give <slow> slow and <failed> failed answers
    When 12 runs are drawn with a version that is good
    Then each run ends complete before the deadline, within the exposure limit until then

    Examples:
      | slow | failed |
      | 0.15 | 0.0    |
      | 0.02 | 0.05   |
      | 0.3  | 0.02   |

  Scenario Outline: A version that is <kind> at <rate> requests a second is reverted
    Given an order of <duration> s for a service with <rate> requests a second
    When 12 runs are drawn with a version that is <kind>
    Then each run ends reverted before the deadline, within both limits

    Examples:
      | kind                  | rate | duration |
      | failing at once       | 300  | 60       |
      | failing at once       | 40   | 60       |
      | failing at once       | 8    | 60       |
      | failing at once       | 8    | 12       |
      | failing at once       | 300  | 12       |
      | failing in a fifth    | 300  | 60       |
      | failing in a fifth    | 40   | 60       |
      | failing in a fifth    | 8    | 60       |
      | slow in a third       | 300  | 60       |
      | slow in a third       | 40   | 60       |
      | failing late          | 300  | 60       |
      | failing late          | 40   | 60       |
      | failing on one route  | 300  | 60       |
      | failing on one route  | 40   | 60       |
      | failing under load    | 300  | 60       |

  Scenario: A daemon that loses touch with the holder sends nothing to the new version
    Given an order of 60 s for a service with 40 requests a second
    When the holder is silent from 20 s on
    Then no request is sent to the new version later than 2 s after its last word

  Scenario: The share of 70 daemons adds up to the share
    Then 70 daemons with 30 requests each send 210 of 2100 requests at a share of 0.1, 12 more or less

  Scenario: A canary's servers carry the load of the whole service
    Then a share of 0.1 goes to 6 of 40 servers, the same at every daemon, and one of 0.01 to 2

  # Without a comparison just before the end, versions that turned bad with the move
  # became complete.
  Scenario Outline: A version that is <kind> in an order of 12 s
    Given an order of 12 s for a service with 20 requests a second
    When 20 runs are drawn with a version that is <kind>
    Then each run ends reverted, within the exposure limit until all traffic moves

    Examples:
      | kind               |
      | failing in a fifth |
      | slow in a third    |
      | failing late       |

  Scenario Outline: Rollouts are enabled by the settings' contracts <contracts>
    Then settings with the contracts <contracts> have rollouts: <enabled>

    Examples:
      | contracts               | enabled |
      | none                    | no      |
      | ["memory"]              | no      |
      | ["rollout", "overload"] | yes     |
      | null                    | no      |
      | "rollout"               | no      |

  Scenario: The bounds of rollouts are those of the settings
    Then settings with the bounds 0.2, 30 and 4000 ms have them, and defaults otherwise

  Scenario Outline: An order is decoded as <order>
    Then an order with the spec <spec> and the status <status> is decoded as <order>

    Examples:
      | spec                                          | status                             | order                |
      | {"Service":"a","To":"v2","DurationS":60}      | null                               | a to v2 in 60 s:     |
      | {"To":"v2","DurationS":12.5,"More":[1]}       | {"State":"active","To":"v2"}       | order to v2 in 12.5 s: active |
      | {"Service":"a","To":"v3","DurationS":60}      | {"State":"complete","To":"v2"}     | a to v3 in 60 s:     |
      | {"Service":"a","To":3,"DurationS":60}         | null                               | nothing              |
      | null                                          | null                               | nothing              |
