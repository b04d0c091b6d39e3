Feature: Who is there, and who is told to callers
  The membership decisions, run for many members in one process with a clock and a
  network of the test's own that loses, delays and cuts as it is told.

  Scenario Outline: A death is known everywhere
    Given <n> members that know each other, and <loss> percent of messages lost
    When <dying> of them die at once
    Then within <bound> s every living member has every dead one as dead
    And no living member was ever taken for dead

    Examples:
      | n  | loss | dying | bound |
      | 8  | 0    | 1     | 10    |
      | 8  | 10   | 2     | 15    |
      | 40 | 0    | 1     | 10    |
      | 40 | 10   | 10    | 20    |

  Scenario: Loss alone kills nobody
    Given 24 members that know each other, and 15 percent of messages lost
    When 120 s pass
    Then no living member was ever taken for dead

  Scenario Outline: A paused member comes back
    Given 16 members that know each other, and 0 percent of messages lost
    When one of them is paused for <pause> s
    Then within 15 s all members have all as alive

    Examples:
      | pause |
      | 2     |
      | 30    |

  Scenario: A region that was cut in two finds together
    Given 16 members that know each other, and 0 percent of messages lost
    When it is cut into two halves for 60 s and healed
    Then within 60 s all members have all as alive

  Scenario: A member that hears nothing is dropped, and it alone
    Given 16 members that know each other, and 0 percent of messages lost
    When one of them can send but hears nothing for 30 s
    Then within 20 s every other member has it as dead and all others as alive

  Scenario: All restart at once
    Given 24 members that know each other, and 0 percent of messages lost
    When all of them restart with new incarnations, knowing only three seeds
    Then within 30 s all members have all as alive

  Scenario: A member that leaves is gone before it stops
    Given 24 members that know each other, and 10 percent of messages lost
    When one of them says that it leaves
    Then within 3 s every other member has it as leaving

  Scenario: Two processes with one id
    Given 8 members that know each other, and 0 percent of messages lost
    When a second process starts with the id of one of them
    Then the older one of the two is told that it is a duplicate

  Scenario: Neighbours are few, mutual enough and reach everyone
    Given the neighbours of 1100 members at degree 6
    Then nobody has more than 6 neighbours and everyone is some member's neighbour
    And an update spreads from any of 20 members to all within 10 hops
    And after 42 percent of the members are gone the same still holds

  Scenario: Addresses spread callers over zones and leave out who leaves
    Given 12 members in 4 zones, one of which is leaving
    When 2000 callers ask for 6 addresses
    Then every answer names all 4 zones and never the leaving one
    And no member is named first more than twice as often as its share

  Scenario: Bad keys and strangers are refused
    Given two peers with one CURVE key and a third with another
    When they all run for 3 s
    Then the two know each other and neither knows the third
    And the refusals were counted

  Scenario: Keys are rotated without a cut
    Given two peers, one listening with a new key while both accept both keys
    When they all run for 3 s
    Then the two know each other
