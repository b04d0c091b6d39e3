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
