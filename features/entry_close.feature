Feature: A connection is looked at and closed in one step of the event loop

  Scenario Outline: A request that waits in its socket is not lost when <why>
    Given 4 callers that keep connections to an entry daemon
    When their next requests arrive just when it closes connections since "<why>"
    Then each of them gets a complete answer

    Examples:
      | why                         |
      | the daemon leaves           |
      | they were idle for too long |
      | new ones come               |

  Scenario Outline: Callers learn of a close at once when <why>
    Given 4 callers that keep connections to an entry daemon
    Then they learn at once, although it is late, that it closes them since "<why>"

    Examples:
      | why                         |
      | the daemon leaves           |
      | they were idle for too long |
      | new ones come               |

  Scenario: A request that arrives as a leaving daemon answers the one before is answered
    Given 4 callers that keep connections to an entry daemon
    And the daemon leaves
    When their next requests arrive just when it answers others of theirs
    Then each of them gets 2 complete answers

  Scenario: What follows the last answer of a leaving daemon does not destroy it
    Given 4 callers that keep connections to an entry daemon and read slowly
    And the daemon leaves
    When they send requests for 3900000 bytes and, 0.3 s later, further ones
    Then each of them gets a complete answer

  Scenario: Whole requests that lack of memory keeps from being served are refused
    Given 4 callers that keep connections to an entry daemon
    And every server takes 0.3 s for a request
    When they send 3 requests at once, and the memory for them is taken away
    Then each of them gets 3 complete answers
    And no request is open at the daemon
