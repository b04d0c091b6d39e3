Feature: A server gets no more requests than the limit that it names

  Scenario Outline: Servers that name a limit of <limit> get no more from <n> daemons
    Given <n> entry daemons and 3 servers
    And the first server names a limit of <limit> requests a second
    When callers send <rate> requests a second of the kind "<kind>" for 8 s
    Then it gets at most one and a half times its limit and 5 requests in any 4 s
    And nine in ten requests were answered

    Examples:
      | limit | n | rate | kind   |
      | 1     | 3 | 60   | read   |
      | 1     | 3 | 30   | stream |
      | 8     | 3 | 90   | read   |
      | 0     | 2 | 60   | read   |
      | 0.25  | 4 | 60   | read   |

  Scenario: Requests that all servers' limits leave no room for are refused at once
    Given 3 entry daemons and 2 servers
    And every server names a limit of 6 requests a second
    When callers send 60 requests a second of the kind "read" for 8 s
    Then it gets at most one and a half times its limit and 5 requests in any 4 s
    And each gets at least half of its limit
    And the others are refused as not run with a time to come back, in 0.4 s

  Scenario: Attempts that a server refuses count against its limit
    Given 3 entry daemons and 3 servers
    And the first server names a limit of 2 requests a second
    And the first server refuses every request
    When callers send 60 requests a second of the kind "read" for 8 s
    Then it gets at most one and a half times its limit and 5 requests in any 4 s
    And nine in ten requests were answered

  Scenario: A server that no longer names a limit gets its part again
    Given 3 entry daemons and 3 servers
    And the first server names a limit of 2 requests a second
    When callers send 60 requests a second of the kind "read" for 4 s
    And the first server no longer names a limit
    And callers send 60 requests a second of the kind "read" for 6 s
    Then it gets at least 10 requests a second in the last 3 s

  Scenario: A server that starts again is not limited by what it named before
    Given 3 entry daemons and 2 servers
    And the first server names a limit of 1 requests a second
    When callers send 30 requests a second of the kind "read" for 2 s
    And the first server starts again under its id without a limit
    And callers send 60 requests a second of the kind "read" for 4 s
    Then it gets at least 10 requests a second in the last 3 s

  Scenario: Daemons that have sent nothing to a server know its limit
    Given 4 entry daemons and 2 servers
    And the first server names a limit of 3 requests a second
    When one daemon sends it requests until it names its limit
    And another daemon starts
    Then all daemons know the limit within 1 s

  Scenario: A daemon that received nothing for a time learns of a limit
    Given 3 entry daemons and 2 servers
    And the first server names a limit of 3 requests a second
    When the last daemon receives nothing while one daemon learns the limit
    Then all daemons know the limit within 2.5 s

  Scenario: Daemons that are cut from each other keep a limit together
    Given 4 entry daemons and 3 servers
    And the first server names a limit of 8 requests a second
    When callers send 60 requests a second of the kind "read" for 2 s
    And the daemons are cut into halves that forget each other
    And callers send 90 requests a second of the kind "read" for 8 s
    Then it gets at most one and a half times its limit and 5 requests in any 4 s

  Scenario Outline: A malformed limit "<value>" is ignored
    Given 1 entry daemons and 2 servers
    And the first server names a limit of <value> requests a second
    When callers send 30 requests a second of the kind "read" for 2 s
    Then no server counts as limited

    Examples:
      | value |
      | -1    |
      | nan   |
      | inf   |
      | 1e3   |
      | two   |
      | 1,5   |
      | ²     |

  Scenario Outline: Shares of <n> daemons hold at <rate> a second while they <change>
    Then <n> daemons that always have requests keep a limit of <rate> while they <change>

    Examples:
      | n    | rate | change                |
      | 9    | 1    | stay                  |
      | 9    | 1    | join and die          |
      | 9    | 40   | join and die          |
      | 9    | 1    | rest and burst        |
      | 9    | 40   | rest and burst        |
      | 9    | 40   | are cut into halves   |
      | 9    | 1    | are cut into halves   |
      | 9    | 40   | are all cut off       |
      | 300  | 2    | join and die          |
      | 1100 | 0.5  | rest and burst        |
      | 1100 | 6    | rest and burst        |
      | 1100 | 6    | are cut into halves   |

  Scenario: The exchange of limits fits the bytes that control may use
    Then a daemon of 1100 that knows 20 limits sends at most 100 bytes a second for them
