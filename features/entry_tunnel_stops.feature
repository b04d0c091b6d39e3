Feature: A planned stop of a daemon loses no request that passes through two daemons

  Scenario Outline: Requests of a cut daemon are answered when <ending>
    Given 3 entry daemon processes, the first cut off from all servers
    When requests in all phases are passed on by the second one
    And then <ending>
    Then each request ends with its answer, or is refused as not run
    And the daemons that were stopped passed nothing on at their end
    And the passing one accounts for all connections that it accepted

    Examples:
      | ending                                                      |
      | the passing one stops                                       |
      | the asking one stops                                        |
      | both stop at once                                           |
      | all stop at once                                            |
      | the asking one stops 1 s after the passing one              |
      | the passing one stops 0.5 s after the asking one            |
      | the passing one stops and is paused around its end          |
      | the passing one stops while the asking one is paused        |
      | all stop and start again in turn                            |

  Scenario: An answer that was sent to the asking daemon arrives after the passing one has ended
    Given 3 entry daemon processes, the first cut off from all servers
    When an answer of 300000 bytes is passed on that the asking daemon does not read
    And the passing daemon is stopped and has ended
    Then the asking daemon receives all 300000 bytes
    And the passing daemon names 1 connection that it ended, with bytes open

  Scenario: A daemon that asks a leaving one for a connection just before its end is answered
    Given 3 entry daemon processes, the first cut off from all servers
    When daemons ask the passing one for connections while it is about to end
    Then each of them is told that none is passed on
