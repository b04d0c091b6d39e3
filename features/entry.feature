Feature: Entry daemons carry callers' requests to backend servers

  Background:
    Given an entry daemon and two backend servers

  Scenario: A request reaches the server as the caller sent it
    When a caller sends "POST /read/a/b?q=1" with a body and headers only the system may set
    Then the answer is 200 with the server's signature and its whole body
    And the server saw the same method, path, query and body
    And the server saw the customer, the time left and its own id
    And the server saw none of the caller's key and system headers

  Scenario Outline: A server that <fault> on a <kind> request
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
      | book        | unsigned       | 502             | 1    |
      | book        | mute           | 504             | 1    |
      | stream      | none           | 200 events 1-8  | 1    |
      | stream      | refuse         | 503             | 0    |
      | stream      | reset          | 502             | 2    |
      | stream/once | none           | 200 events 1-8  | 1    |
      | stream/once | cut            | 200 cut         | 1    |
      | stream/once | reset          | 502             | 1    |

  Scenario: A connection that is reset as soon as it is made carries no request
    Given an entry daemon and two backend servers
    When each new connection to a server is lost before it is used
    Then a caller's "book" request is answered 503
    And the servers were asked nothing

  Scenario: A change of settings while the daemon still starts does not end it
    Then SIGHUP is ignored when the daemon's own modules are loaded

  Scenario: A broken stream goes on at another server in the same answer
    Given one server's fault is "cut" and the other's is "none"
    When callers send "stream" requests until the first server was asked
    Then every answer holds the events 1 to 8 once each and ends whole

  Scenario Outline: A run moves off a server that is about to go
    When a caller's "<kind>" request runs and its server says that it goes in 0.9 s
    Then the caller gets the events 1 to 8 once each and the end
    And the other server went on from the moved run's cache

    Examples:
      | kind        |
      | stream      |
      | stream/once |

  Scenario: What came after a whole answer reaches no other caller
    Given every server's fault is "extra"
    When a caller sends 20 "read" requests on one connection
    Then each answer is to its own request

  Scenario Outline: A caller that leaves while its <kind> request runs
    Given every server's fault is "mute"
    When a caller sends a "<kind>" request and leaves after 0.2 s
    Then no server works on it 0.5 s later

    Examples:
      | kind        |
      | read        |
      | stream      |
      | stream/once |

  Scenario: Requests on one connection wait for their turn
    When a caller sends 5 "read" requests at once on one connection
    Then the answers come in the order of the requests

  Scenario Outline: A request that the configuration does not allow
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

  Scenario: A server that leaves gets nothing more
    When the first server's entry says that it is leaving
    And a caller sends 20 "read" requests on one connection
    Then only the second server was asked

  Scenario: A call that may not be repeated takes no connection that was idle for long
    When a caller sends a "book" request
    And 0.7 s pass
    And a caller sends a "book" request
    Then the servers saw 2 connections

  Scenario: Entries that cannot be used name no server
    When entries with faults are written beside the servers' own
    And a caller sends 20 "read" requests on one connection
    Then each answer is to its own request
    And the daemon knows 2 backend servers

  Scenario: A key that was taken away is refused
    When a configuration without keys is written
    Then within 1 s a caller's "read" request is answered 401

  Scenario: Forgotten history is read anew
    When the store forgets its history and a configuration without keys is written
    Then within 3 s a caller's "read" request is answered 401

  Scenario: Keys are refused as not run once nothing confirms them
    When the store is down for 5.5 s
    Then a caller's "read" request is answered 503 in the end
    And a caller's "open" request is answered 200

  Scenario: A daemon that leaves finishes what runs and takes nothing long
    Given every server's work takes 0.6 s
    When a caller sends a "read" request and the daemon is told to stop meanwhile
    Then that answer is 200 and ends the connection
    And the daemon is not ready while it leaves

  Scenario: A daemon that leaves refuses what it could not finish
    When the daemon is told to stop and a caller on an open connection sends a "stream/once" request
    Then the answer is 503
    And no server was asked and the answer ends the connection

  Scenario: Bytes that are no request get an answer and no forwarding
    When a caller sends bytes that are no request
    Then the answer is 400
    And the servers were asked nothing

  Scenario: A neighbour's state neither brings back nor drops what is newer here
    When the first server's entry is removed
    And a neighbour's state from before that, but with a later change, is taken
    Then the daemon knows only the second server and the later one

  Scenario: A neighbour that has seen other kinds change has no news
    Then a state with the same entries and a higher revision counts as no news

  Scenario: A log leads from a request's id to its cause
    Then in a log of a cut stream the id leads to the server that went
    And an id that is not there leads to nothing

  Scenario: A stamp from before this daemon started dates nothing
    When a neighbour answers with a stamp of the daemon's former start, far ahead of its clock
    Then the configuration's confirmation is not in the future
    And within 6 s without the store a caller's "read" request is answered 503

  Scenario: Metrics tell what happened
    When a caller sends a "read" request
    Then the metrics have 1 answered idempotent request and 2 backends
