Feature: Entry daemons forward callers' requests to backend servers

  Background:
    Given an entry daemon and two backend servers

  Scenario: A request reaches the backend server as the caller sent it
    When a caller sends "POST /read/a/b?q=1" with a body and reserved headers
    Then the answer is 200 with the server's signature and the complete body
    And the server received the same method, path, query and body
    And the server received the customer, the remaining time and its own id
    And the server received neither the caller's key nor its reserved headers

  Scenario Outline: A <kind> request to servers with the fault <fault>
    Given every server's fault is "<fault>"
    When a caller sends a "<kind>" request
    Then its answer is "<answer>" and it ran "<runs>" times

    Examples:
      | kind        | fault          | answer          | runs |
      | read        | none           | 200 whole       | 1    |
      | read        | reset          | 502             | 2    |
      | read        | cut            | 502             | 2    |
      | read        | refuse         | 503             | 0    |
      | read        | fail           | 500 signed      | 2    |
      | read        | garbage        | 502             | 2    |
      | read        | extra          | 200 whole       | 1    |
      | read        | late extra     | 200 whole       | 1    |
      | read        | unframed       | 200 whole       | 1    |
      | read        | unframed reset | 502             | 2    |
      | read        | unframed killed | 502            | 2    |
      | read        | unsigned       | 502             | 2    |
      | read        | mute           | 504             | 2    |
      | book        | none           | 200 whole       | 1    |
      | book        | reset          | 502             | 1    |
      | book        | cut            | 502             | 1    |
      | book        | refuse         | 503             | 0    |
      | book        | fail           | 500 signed      | 1    |
      | book        | garbage        | 502             | 1    |
      | book        | extra          | 200 whole       | 1    |
      | book        | late extra     | 200 whole       | 1    |
      | book        | unframed       | 200 whole       | 1    |
      | book        | unframed reset | 502             | 1    |
      | book        | unframed killed | 502            | 1    |
      | book        | unsigned       | 502             | 1    |
      | book        | signed for one hop | 502         | 1    |
      | stream      | unsigned       | 502             | 2    |
      | stream/once | unsigned       | 502             | 1    |
      | book        | mute           | 504             | 1    |
      | stream      | none           | 200 events 1-8  | 1    |
      | stream      | refuse         | 503             | 0    |
      | stream      | reset          | 502             | 2    |
      | stream/once | none           | 200 events 1-8  | 1    |
      | stream/once | cut            | 200 cut         | 1    |
      | stream/once | reset          | 502             | 1    |

  Scenario: A request on a connection that is reset at once has not run
    Given an entry daemon and two backend servers
    When each new connection to a server is lost before it is used
    Then a caller's "book" request is answered 503
    And the servers received no request

  Scenario: SIGHUP while the daemon starts does not end it
    Then SIGHUP is ignored when the daemon's own modules are loaded

  Scenario: An interrupted stream continues from another server in the same answer
    Given one server's fault is "cut" and the other's is "none"
    When callers send "stream" requests until the first server receives one
    Then every answer has the events 1 to 8 once each and is complete

  Scenario: A stream without a length is passed on whole
    Given every server's fault is "unframed"
    When a caller sends a "stream" request
    Then its answer is "200 events 1-8" and it ran "1" times

  Scenario Outline: A stream that its server breaks off with <fault> never looks complete
    Given every server's fault is "<fault>"
    When a caller sends a "<kind>" request
    Then its answer is "<answer>" and it ran "<runs>" times

    Examples:
      | kind        | fault          | answer  | runs |
      | stream/once | unframed cut   | 200 cut | 1    |
      | stream      | unframed cut   | 200 cut | 2    |
      | stream/once | unframed empty | 502     | 1    |
      | stream      | unframed empty | 502     | 2    |
      | stream/once | unframed killed | 200 cut | 1   |
      | stream      | unframed killed | 200 cut | 2   |
      | stream      | cut unnumbered | 200 cut | 1    |
      | stream/once | chunked cut    | 200 cut | 1    |
      | stream      | chunked cut    | 200 cut | 2    |

  Scenario Outline: A stream broken off with <fault> continues from another server
    Given one server's fault is "<fault>" and the other's is "none"
    When callers send "stream" requests until the first server receives one
    Then every answer has the events 1 to 8 once each and is complete

    Examples:
      | fault           |
      | unframed cut    |
      | unframed empty  |
      | unframed killed |
      | chunked cut     |

  Scenario: A stream that no server brings to its end never looks complete
    Given one server's fault is "unframed cut" and the other's is "unframed empty"
    When callers send 10 "stream" requests one after the other
    Then no answer is complete

  Scenario Outline: A run whose stream has no length moves off a server that is about to leave
    Given every server's fault is "unframed"
    When a caller's "<kind>" request runs and its server announces that it leaves in 0.9 s
    Then the caller receives the events 1 to 8 once each and the end of the stream
    And the other server continued from the moved request's cache

    Examples:
      | kind        |
      | stream      |
      | stream/once |

  Scenario: A run moves although the answer to the move has no length
    Given the servers answer moves without a length
    When a caller's "stream/once" request runs and its server announces that it leaves in 0.9 s
    Then the caller receives the events 1 to 8 once each and the end of the stream
    And the other server continued from the moved request's cache

  Scenario Outline: A <kind> run that may have been stopped on a leaving server is not complete
    Given every server's fault is "unframed"
    And the servers stop a run that is to move without answering the call
    When a caller's "<kind>" request runs and its server announces that it leaves in 0.9 s
    Then its answer is "<answer>" and it ran "<runs>" times

    Examples:
      | kind        | answer         | runs |
      | stream      | 200 events 1-8 | 2    |
      | stream/once | 200 cut        | 1    |

  Scenario Outline: A running request moves off a server that is about to leave
    When a caller's "<kind>" request runs and its server announces that it leaves in 0.9 s
    Then the caller receives the events 1 to 8 once each and the end of the stream
    And the other server continued from the moved request's cache

    Examples:
      | kind        |
      | stream      |
      | stream/once |

  Scenario: Bytes after a complete answer reach no other caller
    Given every server's fault is "extra"
    When a caller sends 20 "read" requests on one connection
    Then each answer belongs to its own request

  Scenario Outline: A caller that disconnects while its <kind> request runs
    Given every server's fault is "mute"
    When a caller sends a "<kind>" request and disconnects after 0.2 s
    Then no server runs it 0.5 s later

    Examples:
      | kind        |
      | read        |
      | stream      |
      | stream/once |

  Scenario: Pipelined requests are answered in order
    When a caller sends 5 "read" requests at once on one connection
    Then the answers come in the order of the requests

  Scenario Outline: A request is checked against routes and keys
    When a caller sends "<line>" with the key "<key>"
    Then the answer is <status>

    Examples:
      | line                | key     | status |
      | GET /read/a         | key-one | 200    |
      | GET /read/a         | wrong   | 401    |
      | GET /read/a         |         | 401    |
      | GET /open/a         |         | 200    |
      | GET /nowhere/a      | key-one | 404    |
      | GET /rea            | key-one | 404    |

  Scenario: A leaving server gets no further requests
    When the first server's entry says that it is leaving
    And a caller sends 20 "read" requests on one connection
    Then only the second server received requests

  Scenario: A request that must not be retried uses no connection that was idle for long
    When a caller sends a "book" request
    And 0.7 s pass
    And a caller sends a "book" request
    Then the servers accepted 2 connections

  Scenario: Invalid entries add no server
    When invalid entries are written next to the servers' own
    And a caller sends 20 "read" requests on one connection
    Then each answer belongs to its own request
    And the daemon knows 2 backend servers

  Scenario: A revoked key is refused
    When a configuration without keys is written
    Then within 1 s a caller's "read" request is answered 401

  Scenario: Changes are found after the store has dropped its history
    When the store drops its history and a configuration without keys is written
    Then within 3 s a caller's "read" request is answered 401

  Scenario: Requests with keys are refused once the configuration is unconfirmed
    When the store is down for 5.5 s
    Then a caller's "read" request is answered 503 in the end
    And a caller's "open" request is answered 200

  Scenario: A leaving daemon finishes a running request
    Given every server takes 0.6 s for a request
    When a caller sends a "read" request and the daemon is told to stop meanwhile
    Then that answer is 200 and closes the connection
    And the daemon is not ready while it leaves

  Scenario: A leaving daemon refuses a request that it could not finish
    When the daemon is told to stop and a caller on an open connection sends a "stream/once" request
    Then the answer is 503
    And no server received a request and the answer closes the connection

  Scenario: A malformed request is answered and not forwarded
    When a caller sends a malformed request
    Then the answer is 400
    And the servers received no request

  Scenario: A peer's state neither restores a removed server nor drops a newer one
    When the first server's entry is removed
    And the daemon merges a peer's state from before that, but with a later change
    Then the daemon knows only the second server and the later one

  Scenario: A peer that has only seen changes of other kinds has no new state
    Then a state with the same entries and a higher revision changes nothing

  Scenario: The log explains a failed request by its id
    Then in the log of an interrupted stream the id finds the events of the leaving server
    And an unknown id finds no events

  Scenario: A stamp of the daemon's previous start does not confirm the configuration
    When a peer echoes a stamp of the daemon's previous start, far ahead of its clock
    Then the configuration's confirmation is not in the future
    And within 6 s without the store a caller's "read" request is answered 503

  Scenario: Metrics count requests and backend servers
    When a caller sends a "read" request
    Then the metrics have 1 answered idempotent request and 2 backends

  Scenario Outline: An answer of a <fault> without end ends in time and in bounded memory
    Given an entry daemon and two backend servers
    And every server's fault is "endless <fault>"
    When a caller sends a "<kind>" request and the daemon's memory is watched
    Then it has an answer within its deadline and the daemon took at most 16 MB
    And the servers' connections are closed

    Examples:
      | fault   | kind        |
      | status  | read        |
      | header  | read        |
      | headers | read        |
      | body    | read        |
      | headers | book        |
      | body    | book        |
      | status  | stream      |
      | headers | stream      |
      | body    | stream      |
      | body    | stream/once |
      | chunk extension | read   |
      | chunk extension | stream |
      | interim answers | read   |
      | interim answers | book   |

  # Trailer fields without end were all kept, until the daemon passed its memory limit.
  Scenario Outline: A complete <kind> before a <fault> without end is delivered
    Given an entry daemon and two backend servers
    And every server's fault is "endless <fault>"
    When a caller sends a "<kind>" request and the daemon's memory is watched
    Then it has the whole answer within its deadline and the daemon took at most 16 MB
    And the servers' connections are closed

    Examples:
      | fault    | kind        |
      | trailers | read        |
      | trailers | book        |
      | trailers | stream      |
      | trailers | stream/once |
      | trailer  | read        |
      | trailer  | stream      |
