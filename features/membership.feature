Feature: Membership of a region, and the addresses given to callers
  The membership functions run for many members in one process, on a simulated clock
  and a simulated network that loses, delays and blocks messages as the test demands.

  Scenario Outline: Every live member detects members that die
    Given <n> members that know each other, and <loss> percent of messages lost
    When <dying> of them die at once
    Then within <bound> s every live member considers every dead one dead
    And no live member was ever considered dead

    Examples:
      | n  | loss | dying | bound |
      | 8  | 0    | 1     | 10    |
      | 8  | 10   | 2     | 15    |
      | 40 | 0    | 1     | 10    |
      | 40 | 10   | 10    | 20    |

  Scenario: Message loss alone causes no false detection
    Given 24 members that know each other, and 15 percent of messages lost
    When 120 s pass
    Then no live member was ever considered dead

  Scenario Outline: A paused member is considered alive again
    Given 16 members that know each other, and 0 percent of messages lost
    When one of them is paused for <pause> s
    Then within 15 s all members consider each other alive

    Examples:
      | pause |
      | 2     |
      | 30    |

  Scenario: The halves of a partitioned region merge again
    Given 16 members that know each other, and 0 percent of messages lost
    When the network is partitioned into two halves for 60 s and then healed
    Then within 60 s all members consider each other alive

  Scenario: Only the member that receives nothing is considered dead
    Given 16 members that know each other, and 0 percent of messages lost
    When one of them can send but receives nothing for 30 s
    Then within 20 s every other member considers it dead and all others alive

  Scenario: All members restart at once
    Given 24 members that know each other, and 0 percent of messages lost
    When all of them restart with new incarnations, knowing only three seeds
    Then within 30 s all members consider each other alive

  Scenario: A member is known to be leaving before it stops
    Given 24 members that know each other, and 10 percent of messages lost
    When one of them announces that it is leaving
    Then within 3 s every other member considers it leaving

  Scenario: Two processes with one id
    Given 8 members that know each other, and 0 percent of messages lost
    When a second process starts with the id of one of them
    Then the older of the two is told that it is a duplicate

  Scenario: The neighbour graph has bounded degree and reaches every member
    Given the neighbours of 1100 members at degree 6
    Then no member has more than 6 neighbours and each is a neighbour of another
    And updates spread from any of 20 members to all within 10 hops
    And the same holds after 42 percent of the members are removed

  Scenario: Addresses spread callers over zones and exclude leaving members
    Given 12 members in 4 zones, one of which is leaving
    When 2000 callers ask for 6 addresses
    Then every answer covers all 4 zones and never contains the leaving member
    And no member is listed first more often than twice its even share

  Scenario: A peer with an unknown key is refused
    Given two peers with the same CURVE key and a third with another
    When they all run for 3 s
    Then the two know each other and neither knows the third
    And the refusals were counted

  Scenario: Keys are rotated without interruption
    Given two peers, one listening with a new key while both accept both keys
    When they all run for 3 s
    Then the two know each other
