@fresh_fleet
Feature: Deferred work is completed although no caller waits for it
  A 202 means that the request is durable: it is answered in the end even if daemons fail.

  Scenario: Deferred work is accepted, run and fetched from any daemon
    When 6 summaries of 40 tokens are deferred
    Then each is fetched in full from every daemon within 20 s
    And another customer gets the error not_found for each

  Scenario: Requests with the same key are the same work at every daemon
    When one summary of 30 tokens is deferred at all 3 daemons with one key
    Then the 3 ids are equal
    And the engines generated about 30 tokens for it

  Scenario Outline: The owner of deferred work is killed or leaves
    When 9 summaries of 700 tokens are deferred
    And after 1.5 s a daemon that owns some of them is <failure>
    Then each is fetched in full from the other daemons within 60 s

    Examples:
      | failure               |
      | killed                |
      | asked to drain        |
      | reclaimed with 5 s    |

  Scenario: A planned stop does not restart deferred work
    When 9 summaries of 900 tokens are deferred
    And after 3 s a daemon that owns some of them is asked to drain
    Then each is fetched in full from the other daemons within 60 s
    And at most 5 percent more tokens were generated than asked for

  Scenario: The object API is down when work is deferred
    Given the object API is down
    When a summary is deferred with a key
    Then the caller gets the error store_unavailable with ran unknown
    And once the object API is back the same key is accepted and fetched in full
