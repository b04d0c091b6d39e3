Feature: Every daemon soon knows which servers leave and which configuration is in force

  The bound is `DrainMs` of the settings, 2 s, in which a server that leaves gets its last
  request. A daemon that dies here sends nothing; its addresses refuse or do not answer.

  # Each source that did not answer cost its whole time-out before the next was asked.
  Scenario: A daemon whose links to most sources hang learns of a change from another one
    Given 5 entry daemons and 3 servers
    When the links of a daemon that does not watch the store hang to all others but one
    Then each of 8 changes of the first server is known everywhere within 1.5 s

  # The others waited until those that watch counted as lost.
  Scenario: A server that leaves is known although all daemons that watch the store die
    Given 9 entry daemons and 3 servers
    When 3.0 s pass
    And the daemons that watch the store die as the first server begins to leave
    Then every daemon knows within 2 s that the first server leaves

  Scenario: A configuration is in force although all daemons that watch the store die
    Given 9 entry daemons and 3 servers
    When 3.0 s pass
    And the daemons that watch the store die as the operator stores configuration 2
    Then within 2 s every daemon has configuration 2 in force

  # Standby daemons asked one that did not answer and waited for their next turn.
  Scenario: A standby daemon that is not answered asks others at once
    Given 40 entry daemons and 2 servers
    Then within 12 s 25 daemons are active
    When 2.0 s pass
    And 12 of the daemons that are active answer no standby daemon
    Then each of 4 changes of the first server is known everywhere within 1.5 s
