Feature: Daemons that are cut off from backend servers serve their callers all the same

  Scenario Outline: <n> of 4 daemons cut off from all servers serve callers as the others do (<fault>)
    Given 4 entry daemons and 3 servers
    When <n> daemons are cut off from all servers with the fault "<fault>"
    And callers send requests of all kinds to all daemons for 3 s
    And callers send requests of all kinds to all daemons for 4 s more
    Then at the cut daemons at least 19 in 20 of the latter requests were answered
    And each answer at a cut daemon came within 0.6 s
    And no request ran more often than its kind allows

    Examples:
      | n | fault      |
      | 1 | hang       |
      | 2 | hang       |
      | 3 | hang       |
      | 2 | reset      |
      | 2 | refuse new |
