Feature: A calm day leaves no request of a kept connection without an answer

  # Of 1.5 MB a part is still to be sent then; less waits in the kernels.
  Scenario Outline: Answers that come before <size> bytes of a <kind> request are read harm no other
    Given 1 entry daemons and 4 servers
    And every server behaves as "early answer"
    When <callers> callers send <n> "<kind>" requests of <size> bytes on kept connections
    Then each request has a complete answer of status 200
    And each of them ran once, with its whole body
    And the account of the daemon adds up

    Examples:
      | kind | callers | n  | size    |
      | read | 4       | 30 | 1500000 |
      | book | 4       | 30 | 1500000 |
      | read | 12      | 10 | 400000  |
      | read | 4       | 30 | 200000  |

  Scenario Outline: Callers of "<line>" get the answer of a server that behaves as "<behaviour>"
    Given 1 entry daemons and 4 servers
    And every server behaves as "<behaviour>"
    When 4 callers send 10 requests "<line>" with <size> bytes on kept connections
    Then each request has a complete answer of status <status>
    And each of them ran once
    And the account of the daemon adds up

    Examples:
      | behaviour            | line         | size    | status |
      | none                 | GET /read/a  | 0       | 200    |
      | none                 | POST /book/a | 1500000 | 200    |
      | interim              | GET /read/a  | 0       | 200    |
      | interim              | POST /book/a | 1500000 | 200    |
      | continue             | POST /book/a | 1500000 | 200    |
      | no content           | GET /read/a  | 0       | 204    |
      | no content           | POST /book/a | 1500000 | 204    |
      | not modified         | GET /read/a  | 0       | 304    |
      | head                 | HEAD /read/a | 0       | 200    |
      | unframed             | GET /read/a  | 0       | 200    |
      | unframed             | POST /book/a | 1500000 | 200    |
      | closing              | POST /book/a | 10      | 200    |
      | closing silently     | GET /read/a  | 0       | 200    |
      | closing silently     | POST /book/a | 10      | 200    |
      | early answer, closes | GET /read/a  | 1500000 | 200    |
      | early answer, closes | POST /book/a | 1500000 | 200    |

  Scenario: A request at the end of its connection's idle time is answered
    Given 1 entry daemons and 4 servers
    And callers may leave connections idle for 1 s
    When 8 callers send 3 requests "GET /read/a" with 0 bytes on kept connections, 0.8 s apart
    Then each request has a complete answer of status 200
    And each of them ran once
    And the account of the daemon adds up

  Scenario: A caller that closes its side right after a request is counted as gone
    Given 1 entry daemons and 4 servers
    When 20 callers send a request and close their side at once
    Then the account of the daemon adds up
    And each request of them was answered or its caller had left

  Scenario: A stream that its caller does not read for a time is not begun again elsewhere
    Given 1 entry daemons and 4 servers
    And streams may take 20 s
    And every server behaves as "large events"
    When 2 callers take a stream and read nothing of it for 3 s
    Then each request has a complete answer of status 200
    And each of them ran once
    And no server has been taken for unreachable
    And the account of the daemon adds up

  Scenario Outline: A request on a connection that its server drops just then is <done>
    Given 1 entry daemons and 4 servers
    And 8 callers have sent 5 requests "<line>" at once
    And every server drops its open connections without notice
    When 4 callers send 1 requests "<line>" with 10 bytes on kept connections
    Then each request has a complete answer of status 200 or <status>
    And none of them ran more than once
    And the account of the daemon adds up

    Examples:
      | line         | status | done       |
      | GET /read/a  | 200    | sent again |
      | POST /book/a | 502    | told so    |

  Scenario: Connections that were idle for too long keep no request from a server
    Given 1 entry daemons and 1 servers
    And each server takes 4 connections
    And 4 callers have sent 5 requests "GET /read/a" at once
    When 0.7 s later 4 callers send a request "POST /book/a"
    Then each request has a complete answer of status 200
    And each of them ran once
    And no server has been taken for unreachable
    And the account of the daemon adds up

  Scenario: A server whose connections all read the rest of a body is not taken for unreachable
    Given 1 entry daemons and 1 servers
    And each server takes 4 connections
    And every server behaves as "early answer"
    When 4 callers send 6 "book" requests of 1500000 bytes on kept connections
    Then each request has a complete answer of status 200 or 503
    And no server has been taken for unreachable
    And the account of the daemon adds up

  Scenario: A server that reads a long body late is not taken for one that is gone
    Given 1 entry daemons and 4 servers
    And requests may take 10 s
    And every server behaves as "reads late"
    When 2 callers send 1 "book" requests of 1000000 bytes on kept connections
    Then each request has a complete answer of status 200
    And each of them ran once, with its whole body
    And the account of the daemon adds up
