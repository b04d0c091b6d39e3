@fresh_fleet
Feature: Work that its caller does not wait for arrives complete
  A 202 means that the request is durable; whoever dies, it is answered in the end.

  Scenario: Accepted, run and fetched from any daemon
    When 6 summaries of 40 tokens are deferred
    Then each is fetched whole from every daemon within 20 s
    And another customer is told not_found for each

  Scenario: The same key is the same work at every daemon
    When one summary of 30 tokens is deferred at all 3 daemons with one key
    Then the 3 ids are equal
    And the engines generated about 30 tokens for it

  Scenario Outline: Its owner is lost
    When 9 summaries of 700 tokens are deferred
    And after 1.5 s a daemon that owns some of them is <failure>
    Then each is fetched whole from the other daemons within 60 s

    Examples:
      | failure               |
      | killed                |
      | asked to drain        |
      | reclaimed with 5 s    |

  Scenario: A planned stop does not start deferred work over
    When 9 summaries of 900 tokens are deferred
    And after 3 s a daemon that owns some of them is asked to drain
    Then each is fetched whole from the other daemons within 60 s
    And at most 5 percent more tokens were generated than asked for

  Scenario: The object API is away when work is deferred
    Given the object API is down
    When a summary is deferred with a key
    Then the caller is told store_unavailable with ran unknown
    And once the object API is back the same key is accepted and fetched whole
