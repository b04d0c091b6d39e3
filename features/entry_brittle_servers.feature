Feature: Servers that fall over when they turn too many requests away are spared

  Scenario Outline: <n> brittle servers under 2.5 times their load do not fall over
    Given <daemons> entry daemons and <n> servers
    And every server has room for 8 requests of 0.4 s and says that it bears <brittle> refusals in a second
    When callers send <rate> requests a second of the kind "book" for 4 s
    And the servers begin to fall over
    And callers send <rate> requests a second of the kind "book" for 5 s
    Then at most <falls> servers fell over
    And at least half of what they have room for was answered
    And the others are refused as not run with a time to come back, in 0.7 s

    Examples:
      | daemons | n | brittle | rate | falls |
      | 3       | 2 | 3       | 100  | 0     |
      | 9       | 2 | 2       | 100  | 1     |
      | 9       | 1 | 0       | 50   | 2     |

  Scenario Outline: A malformed "<value>" does not make a server brittle
    Given 1 entry daemons and 1 servers
    And the first server says that it is brittle with "<value>"
    When callers send 20 requests a second of the kind "read" for 1 s
    Then no daemon takes a server for brittle

    Examples:
      | value     |
      | -1        |
      | x         |
      | 1e9       |
      | 9999999999999 |

  Scenario: A server that is no longer brittle is used in full again
    Given 2 entry daemons and 1 servers
    And the first server says that it is brittle with "3"
    When callers send 20 requests a second of the kind "read" for 1 s
    Then all daemons take the first server for brittle
    When the first server says so no more
    And callers send 20 requests a second of the kind "read" for 1 s
    Then no daemon takes a server for brittle
