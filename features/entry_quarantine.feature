Feature: A prompt part that crashes servers is held back, and nothing else

  Scenario: Requests with a part that crashed servers reach no more of them
    Given 3 entry daemons and 4 servers that crash on the prompt part "bad"
    When callers send prompts with the parts "shared,bad" and "shared,good" for 8 s
    Then at most 3 with the part "bad" reached servers later than 3 s after the fifth crash
    And nine in ten with the part "good" were answered in the last 3 s

  Scenario: A prompt with a held part is refused at once as not run
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When callers send prompts with the parts "bad", "x,bad", "bad,y" and take up one stream
    Then all are refused as not run with a time to come back, and reach no server

  Scenario: Requests that share anything else with a held part are served
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When callers send prompts with the parts "shared", "shared,bad2" and "other" and without parts
    Then all of them are answered

  Scenario: A held part as the last part of a prompt is not refused
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When a caller sends a prompt with the last part "bad"
    Then all of them are answered

  Scenario: A request that waits while its part becomes held is not repeated
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the servers crash 0.4 s after they begin to answer
    When callers send 8 prompts with the part "bad" that may be repeated, 0.17 s apart
    Then no attempt reaches a server once the part "bad" is held, nor a second one of some

  Scenario: A request that waits for a connection while its part becomes held is refused
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    When the part "bad" becomes held while a request with it waits for a connection
    Then all are refused as not run with a time to come back, and reach no server

  Scenario: A daemon that has just started refuses a held part
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When another daemon starts
    Then it holds the part "bad" within 1 s

  Scenario: A prompt that comes before a new daemon knows what is held waits for it
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When another daemon starts and gets prompts with the part "bad" at once
    Then all are refused as not run with a time to come back, and reach no server

  Scenario: A part stays held in the store while its writer changes
    Given 3 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When the daemons are stopped and started one after the other
    Then the store kept the held part all the time

  Scenario: A part stays held when all daemons are lost at once
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When all daemons are killed and one starts
    Then it holds the part "bad" within 1 s

  Scenario: A daemon that received nothing for a time learns what is held
    Given 3 entry daemons and 4 servers that crash on the prompt part "bad"
    When the last daemon receives nothing while the part "bad" becomes held at the others
    Then it holds the part "bad" within 2.5 s after it receives again

  Scenario: A daemon alone holds a part from its own observations
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    When the last daemon hears from no other and callers send it the part "bad"
    Then at most 6 servers crashed and only that daemon holds the part "bad"

  Scenario: Daemons that were cut from each other agree afterwards
    Given 4 entry daemons and 4 servers that crash on the prompt part "bad"
    When two halves of the daemons are cut from each other and one half holds the part "bad"
    Then the other half holds the part "bad" within 2.5 s after the cut

  Scenario Outline: <cause> hold no part back
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    When <cause>
    Then no daemon holds any part

    Examples:
      | cause                                                    |
      | servers break answers off without ending                 |
      | servers break answers off and reset new connections      |
      | servers end that were to leave                           |
      | all servers end at the same moment                       |
      | servers end one by one while others complete their parts |

  Scenario: A part that is answered completely is released everywhere
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And a held part may be tried after 1 s
    And the part "bad" is held everywhere
    When the servers no longer crash and callers go on with the part "bad" for 3 s
    Then no daemon holds any part
    And the store keeps no held part
    And the last prompts with the part "bad" were answered

  Scenario: Only one request at a time tries a held part
    Given 3 entry daemons and 4 servers that crash on the prompt part "bad"
    And a held part may be tried after 1 s
    And the part "bad" is held everywhere
    When callers go on with the part "bad" for 3 s
    Then at most 1 more server crashed

  Scenario Outline: Malformed parts "<value>" neither fail the daemon nor hold a part back
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    When a caller sends the prompt parts "<value>"
    Then it is answered and no daemon holds any part

    Examples:
      | value              |
      | :,:5,::            |
      | a:²,b:1            |
      | ,,,,               |
      | a,b,c              |
      | a:-1,b:1e9,c:2     |
      | 300 parts          |
      | 5000 digits        |

  Scenario Outline: A part on <crashes> crashes, answered <answered>, is <state>
    When a part was on <crashes> crashes 1 s apart and was answered <answered>
    Then it is <state>

    Examples:
      | crashes | answered                 | state     |
      | 2       | never                    | free      |
      | 3       | never                    | held      |
      | 3       | 10 s before the first    | free      |
      | 3       | 40 s before the first    | held      |
      | 3       | 1 s after the last       | free      |

  Scenario: A part is held longer after each further crash and never for over an hour
    Then the holds after 3 to 9 crashes are 30, 120, 480, 1920, 3600, 3600 and 3600 s

  Scenario: The culprit is told from the parts beside it
    Given records of crashes with one request of "bad" beside some of "shared" and "good"
    Then only "bad" is held

  Scenario: Records agree in whatever order daemons exchange them
    Then generated records merged in any order give the same holds

  Scenario: Parts that callers invent do not fill the memory or push a held part out
    Given 2 entry daemons and 4 servers that crash on the prompt part "bad"
    And the part "bad" is held everywhere
    When a server crashes under 3000 requests with 20 invented parts each
    Then the daemon still holds the part "bad" and keeps at most 512 records

  Scenario: A decision on as many records as are kept takes little time
    Then 512 parts with 32 crashes each are decided within 0.25 s

  Scenario: The exchange of held parts fits the bytes that control may use
    Then a daemon that holds 4 parts sends at most 400 bytes a second for them
