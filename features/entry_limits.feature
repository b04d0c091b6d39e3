Feature: A server gets no more requests than the limit that it names

  @known_red
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
