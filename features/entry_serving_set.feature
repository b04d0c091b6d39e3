Feature: Large fleets send callers to a serving set, and the other daemons stand by

  Scenario Outline: The set follows the load
    Given daemons in 6 zones with 20 of 0.5 cores and 3 of 2.15 cores in each
    When each daemon of the set is busy for <busy> of the time for callers
    Then the set has <n> daemons, at most one more in one zone than in another
    And all larger VMs are in it

    Examples:
      | busy | n  |
      | 0.02 | 25 |
      | 0.25 | 25 |
      | 0.5  | 50 |

  Scenario: A burst enlarges the set at once, and its end makes it smaller late
    Given daemons in 6 zones with 20 of 0.5 cores and 3 of 2.15 cores in each
    When the load is played: 5 s at 2 daemons' work, 3 s at 19.9, 20 s at 2
    Then the set has 25 daemons before the burst and 80 within it
    And it has 80 daemons for 10 s after the burst and 25 later

  Scenario: A daemon that comes or goes changes the set by one
    Given daemons in 6 zones with 20 of 0.5 cores and 3 of 2.15 cores in each
    Then without any one of them at most one other daemon joins the set

  Scenario Outline: An active daemon that <case> <result>
    Given an active daemon outside a set of 25 with 25 active daemons, unused for 60 s
    When it <case>
    Then it <result>

    Examples:
      | case                                             | result       |
      | has nothing else to do                           | may stand by |
      | is in the set                                    | stays active |
      | sees 24 active daemons in the set                | stays active |
      | left the set 7 s ago and has callers             | stays active |
      | left the set 9 s ago and has callers             | may stand by |
      | left the set 7 s ago and has no callers          | may stand by |
      | holds the duties, starts or leaves               | stays active |

  Scenario: All daemons of a small fleet serve callers
    Given 9 entry daemons and 2 servers
    When 4.0 s pass
    Then 9 daemons are active

  @known_red
  Scenario: Daemons that start together agree on the set although they are slow
    Given 88 entry daemons and 2 servers
    Then within 20 s 25 daemons are active for 5 s on end

  Scenario: A large fleet keeps its control traffic to the set
    Given 60 entry daemons and 2 servers
    Then within 12 s 25 daemons are active
    And every directory names the 25 active daemons only
    When 4.0 s pass
    Then for 5 s a standby daemon sends and receives at most 8192 bytes a second
    And an active daemon sends and receives no more datagrams than one of 25

  Scenario: A configuration comes into force at standby daemons, too
    Given 60 entry daemons and 2 servers
    Then within 12 s 25 daemons are active
    When the operator stores configuration 2
    Then within 2 s every daemon has configuration 2 in force

  # All daemons share one thread, which the start of 60 of them can fill for seconds.
  Scenario: Keys stay confirmed at standby daemons
    Given 60 entry daemons and 2 servers
    Then within 12 s 25 daemons are active
    And within 12 s datagrams wait less than 1 s for the shared thread
    And for 6 s no daemon's configuration is older than 4 s

  @known_red
  Scenario: Standby daemons take the place of those that die
    Given 60 entry daemons and 2 servers
    Then within 12 s 25 daemons are active
    When 8 active daemons are killed
    Then within 5 s every directory names 25 living daemons and no dead one

  Scenario: Standby daemons find one another when the whole set dies
    Given 60 entry daemons and 2 servers
    Then within 12 s 25 daemons are active
    When 25 active daemons are killed
    Then within 8 s every directory names 25 living daemons and no dead one
    And within 12 s 25 daemons are active
    And within 2 s every active daemon knows the others as active

  # Guards against active daemons that never exchange totals: each held the other for a
  # standby daemon, since both became active at the same time.
  Scenario: Daemons that hold each other for standby daemons meet again
    Given 3 entry daemons and 2 servers
    When 3.0 s pass
    And 2 active daemons hold each other for standby daemons
    Then within 2 s every active daemon knows the others as active

  Scenario: What standby daemons serve counts in quotas and usage
    Given 60 entry daemons and 2 servers
    And the customer has 1 request a second and a burst of 40
    Then within 12 s 25 daemons are active
    When 2.0 s pass
    And 30 requests come to 15 standby daemons
    Then within 2 s every active daemon counts 30 requests of usage
    And every active daemon has at least 24 units less than the burst
    And of 40 further requests in 4 s at active daemons at most 18 run
