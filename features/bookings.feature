Feature: A call that may not be repeated runs at most once
  Daemons run as processes and pass bookings through the ledger while daemons are killed
  or paused, the object API fails and answers are lost. The fake intake service executes
  every booking that it receives and counts executions by reference.

  @fresh_fleet
  Scenario: The same key is sent to three daemons at the same instant
    When 20 keys are each booked at all 3 daemons at once
    Then every key was executed exactly once
    And all answers for one key are equal

  @fresh_fleet
  Scenario Outline: A daemon fails while bookings come in
    When 120 bookings come in over 2 s and <what> is <failure> after 0.6 s
    Then every key was executed at most once
    And no key whose requests were all refused as not run was executed
    And repeating each key at a live daemon never books it twice

    Examples:
      | what                | failure |
      | the owner of shards | killed  |
      | an entry daemon     | killed  |

  @fresh_fleet
  Scenario: An owner is paused beyond its lease and resumes in the middle of a write
    When 120 bookings come in over 2 s and the owner of shards is paused for 6 s
    Then every key was executed at most once
    And no key whose requests were all refused as not run was executed
    And repeating each key at a live daemon never books it twice

  @fresh_fleet
  Scenario Outline: The object API fails
    When 60 bookings come in over 2 s while the object API <fault>
    Then every key was executed at most once
    And no key whose requests were all refused as not run was executed
    And repeating each key at a live daemon books each exactly once

    Examples:
      | fault                           |
      | loses 6 answers after the write |
      | is down for 4 s                 |
      | is 0.4 s slow                   |

  @fresh_fleet
  Scenario: The answer of the service is lost after the booking took effect
    Given the intake service loses its next 2 answers after the effect
    When 2 keys are booked
    Then the callers get the error outcome_unknown with ran unknown
    And repeating each key at a live daemon never books it twice
    And every key was executed exactly once

  @fresh_fleet
  Scenario: A service writes an earlier refusal once more on a kept connection
    Given the intake service refuses its next 4 calls and writes each refusal again
    When 24 keys are booked one after the other at one daemon
    Then no key whose call was answered 503 was executed
    And every key was executed at most once

  @fresh_fleet
  Scenario: A service stops inside the head of its answers and closes
    Given the intake service stops inside the head of its next 6 answers
    When 12 keys are booked one after the other at one daemon
    Then the callers whose answers were cut get outcome_unknown, at least 4 of them
    And every key was executed at most once

  @fresh_fleet
  Scenario: Keys are refused where an answer could be wrong
    When a key is booked, then used again with another body
    Then the second is refused as key_reused and did not run
    And a key created 2 hours ago is refused as key_expired with ran unknown
    And a booking with an unreachable service is refused as not run and may be sent again

  Scenario Outline: The verdict on a request for a grant
    Given a key that is <state> for attempt <attempt>, its holder <holder>
    When attempt <asking> asks with <body> body
    Then the ledger's verdict is <verdict>

    Examples:
      | state   | attempt | holder | asking | body      | verdict |
      | unknown | -       | -      | b      | the same  | granted |
      | free    | a       | alive  | b      | the same  | granted |
      | free    | a       | alive  | b      | another   | reused  |
      | granted | a       | alive  | a      | the same  | granted |
      | granted | a       | alive  | b      | the same  | pending |
      | granted | a       | dead   | b      | the same  | unknown |
      | granted | a       | dead   | a      | the same  | granted |
      | granted | a       | alive  | b      | another   | reused  |
      | done    | a       | dead   | b      | the same  | known   |
      | done    | a       | alive  | a      | the same  | known   |
      | done    | a       | alive  | b      | another   | reused  |

  Scenario: No sequence of entries allows two attempts to be sent
    When 4000 generated sequences of intents, reports and takeovers are applied
    Then no key was granted to an attempt while another one might have been sent
