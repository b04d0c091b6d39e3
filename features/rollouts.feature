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

  # With daemons, a store and servers of their own on loopback addresses.
  Scenario: Without the contract nothing of rollouts starts
    Given 2 daemons that hold duties, without rollouts
    Then they know no orders and call the store for none

  Scenario: Without an order versions change no decision
    Given 2 daemons that hold duties and carry out rollouts
    When without an order servers of v2 start
    Then callers are answered by both versions, and no status is written

  Scenario: A good version is complete, and serves alone
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 12 s and its servers start
    Then the statuses within 12 s are active, complete of v2
    And requests go to v2 alone
    And no request failed

  Scenario: A version that fails is reverted, and gets nothing more
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 12 s and its servers fail
    Then the statuses within 12 s are active, reverted of v2
    And version v2 got fewer than 50 requests
    And requests go to v1 alone

  Scenario: A version that becomes slow is reverted
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 16 s and its servers start
    And that version becomes slow after 4 s
    Then the statuses within 16 s are active, reverted of v2
    And requests go to v1 alone

  Scenario: The next holder continues when the holder is killed
    Given 4 daemons that hold duties and carry out rollouts
    When v2 is ordered within 20 s and its servers start
    And the holder is killed after 4 s
    Then the statuses within 20 s are active, complete of v2
    And requests go to v2 alone

  # The order's age was counted from the daemons' start.
  Scenario: A rollout goes on when all daemons were killed
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 20 s and its servers start
    And all daemons are killed after 4 s and start again
    Then the statuses within 20 s are active, complete of v2
    And requests go to v2 alone

  Scenario: A rollout goes on when the store was away
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 20 s and its servers start
    And the store is away for 4 s after 3 s
    Then the statuses within 20 s are active, complete of v2
    And requests go to v2 alone

  # The copy lacks the order and the holder's record.
  Scenario: A rollout goes on when the store comes back from an older copy
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 20 s and its servers start
    And the store comes back after 4 s from a copy of before, and the order is written again
    Then the last status within 20 s is complete of v2, and none was written twice in an era
    And requests go to v2 alone

  Scenario: A second order replaces the first
    Given 3 daemons that hold duties and carry out rollouts
    When v2 is ordered within 20 s and its servers start
    And v3 is also ordered after 3 s, within 12 s
    Then within 13 s an active v2 is followed by an active and complete v3
    And requests go to v3 alone

  Scenario: An order to the version that serves is complete soon
    Given 3 daemons that hold duties and carry out rollouts
    When v1 is ordered for its servers within 12 s
    Then the statuses within 6 s are active, complete of v1
    And requests go to v1 alone

  # An earlier holder that was frozen goes on with what it meant to say.
  Scenario Outline: After a word of fence <fence> and number <n> one of <late> counts: <counts>
    Given a daemon that heard the word <n> of the holder with fence <fence>
    Then a word <late_n> with fence <late> and phase <phase> counts: <counts>

    Examples:
      | fence | n | late | late_n | phase    | counts |
      | 8     | 3 | 7    | 9      | moving   | no     |
      | 8     | 3 | 8    | 3      | moving   | no     |
      | 8     | 3 | 8    | 4      | moving   | yes    |
      | 8     | 3 | 9    | 1      | reverted | yes    |
      | 7     | 3 | 4295 | 1      | canary   | yes    |

  Scenario: A decision is never taken back
    Given a daemon that heard that a version is reverted
    Then a word 9 with fence 99 and phase canary counts: no

  Scenario: A word expires after 2 s, and a decision does not
    Then a word of 1.9 s ago is in force, one of 2.1 s ago is not, and a decision is

  Scenario Outline: A daemon with <new> bad answers of its own
    Then a daemon that saw <new> bad of 60 new answers and <old> bad of 600 old ones <does>

    Examples:
      | new | old | does    |
      | 49  | 0   | goes on |
      | 50  | 0   | stops   |
      | 50  | 500 | goes on |

  # All requests that a dying server broke were taken for bad answers of its version.
  Scenario: A server that dies counts as 3 failures, however many daemons see it
    Then 16 connections broken by one server, seen by 8 daemons, count as 3 failures
