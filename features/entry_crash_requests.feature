Feature: A request that crashes servers is held back, and nothing else

  Scenario Outline: A "<kind>" request that crashed three servers reaches no more of them
    Given 3 entry daemons and 4 servers that crash on the body "bad"
    When callers send "<kind>" requests with the bodies "bad" and "good" for 7 s
    Then at most 3 with the body "bad" reached servers later than 3 s after the third crash
    And nine in ten with the body "good" were answered in the last 3 s

    Examples:
      | kind        |
      | read        |
      | book        |
      | stream      |
      | stream/once |

  Scenario: Servers have ended although their addresses accept connections for a moment
    Given 3 entry daemons and 4 servers that crash on the body "bad"
    And their addresses accept connections for 0.2 s after a crash
    When callers send "read" requests with the bodies "bad" and "good" for 7 s
    Then at most 3 with the body "bad" reached servers later than 3 s after the third crash
    And nine in ten with the body "good" were answered in the last 3 s

  Scenario: A held request is refused at once as not run, whatever its id
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And the "read" request with the body "bad" is held everywhere
    When callers send the "read" request with the body "bad" to all daemons
    Then all are refused as not run with a time to come back, and reach no server

  Scenario Outline: A request with another <difference> than a held one is served
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And the "read" request with the body "bad" is held everywhere
    When the servers no longer crash
    And callers send the held request with another <difference>
    Then all of them are answered 200

    Examples:
      | difference |
      | body       |
      | path       |
      | query      |
      | method     |
      | customer   |

  Scenario: Parts of a prompt that a crashing request shares with others are not held
    Given 3 entry daemons and 4 servers that crash on the body "bad"
    When callers send streams of the parts "shared,own" with the bodies "bad" and "good" for 7 s
    Then at most 3 with the body "bad" reached servers later than 3 s after the third crash
    And nine in ten with the body "good" were answered in the last 3 s

  Scenario: A request is not sent again once it has become held
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And the servers crash 0.4 s after they begin to answer
    When callers send 8 "read" requests with the body "bad", 0.17 s apart
    Then no attempt reaches a server once the "read" request with the body "bad" is held

  Scenario: A daemon that has just started refuses a held request
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And the "read" request with the body "bad" is held everywhere
    When another daemon starts and gets the "read" request with the body "bad" at once
    Then all are refused as not run with a time to come back, and reach no server

  Scenario: A request stays held when all daemons are lost at once
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And the "read" request with the body "bad" is held everywhere
    When all daemons are killed and one starts and gets that request
    Then all are refused as not run with a time to come back, and reach no server

  Scenario: Daemons that were cut from each other agree afterwards
    Given 4 entry daemons and 4 servers that crash on the body "bad"
    When two halves of the daemons are cut from each other and one half holds the "read" request "bad"
    Then the other half holds the "read" request "bad" within 2.5 s after the cut

  Scenario: A daemon alone holds a request from its own observations
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    When the last daemon hears from no other and callers send it the "read" request "bad"
    Then at most 6 servers crashed and only that daemon holds the "read" request "bad"

  Scenario Outline: <cause> hold no request back
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    When under one and the same request <cause>
    Then no daemon holds anything

    Examples:
      | cause                                                    |
      | servers break answers off without ending              |
      | servers break answers off and reset new connections    |
      | servers end that were to leave                        |
      | all servers end at the same moment                     |
      | servers end one by one while others complete their parts |

  Scenario: A request that servers answer again is released everywhere
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And a held part may be tried after 1 s
    And the "read" request with the body "bad" is held everywhere
    When the servers no longer crash
    And callers go on with the "read" request "bad" for 4 s
    Then the last of them were answered and no daemon holds anything

  Scenario: A trial that no server could take is not spent
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And a held part may be tried after 1 s
    And the "read" request with the body "bad" is held everywhere
    When the servers no longer crash
    And callers try the "read" request "bad" while no server is listed
    And callers go on with the "read" request "bad" for 4 s
    Then the last of them were answered and no daemon holds anything

  Scenario Outline: A trial that <servers> has not run is not spent
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And a held part may be tried after 1 s
    And the "read" request with the body "bad" is held everywhere
    When the servers no longer crash
    And callers try the "read" request "bad" while <servers> does not run it
    And callers go on with the "read" request "bad" for 4 s
    Then the last of them were answered and no daemon holds anything

    Examples:
      | servers       |
      | every server  |
      | the first one |

  Scenario: Only one caller at a time tries a held request
    Given 3 entry daemons and 4 servers that crash on the body "bad"
    And a held part may be tried after 1 s
    And the "read" request with the body "bad" is held everywhere
    When callers go on with the "read" request "bad" for 3 s
    Then at most 1 more server crashed

  Scenario: Requests that callers invent fill neither memory nor datagrams
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    When 3000 different requests are on each of three crashes
    Then no daemon holds anything
    And the daemon keeps at most 512 records

  Scenario: A request stays held in the store when that comes back from an older copy
    Given 2 entry daemons and 4 servers that crash on the body "bad"
    And a copy of the store
    And the "read" request with the body "bad" is held everywhere
    When the store comes back from the copy at once
    And all daemons are killed and one starts and gets that request when it trusts keys
    Then all are refused as not run with a time to come back, and reach no server

  Scenario: A crashing request that is sent many times at once is told from a sound one
    Then of requests on 4 crashes with 3 sent each and on 3 of them with 1 sent each the first is held

  Scenario Outline: A request on <crashes> crashes <pause> s apart is <state>
    Then a request on <crashes> crashes <pause> s apart is "<state>"

    Examples:
      | crashes | pause | state          |
      | 2       | 5.0   | free           |
      | 3       | 0.02  | free           |
      | 3       | 0.06  | held for 30 s  |
      | 6       | 0.03  | held for 30 s  |
      | 3       | 5.0   | held for 30 s  |
      | 4       | 5.0   | held for 120 s |
