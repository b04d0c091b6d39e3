Feature: What faulty servers write is never taken for what it is not

  Scenario Outline: A server with the fault "<fault>" leads to no untrue refusal of <kind>
    Given 1 entry daemons and 2 servers
    And every server has the fault "<fault>"
    When callers send 60 requests of the kind "<kind>" one after the other
    Then none of those told as not run has run, and no other more than once
    And at least <n> of them ran

    Examples:
      | fault                    | kind        | n  |
      | refusal again            | book        | 10 |
      | refusal again            | read        | 10 |
      | refusal again            | stream      | 10 |
      | refusal again            | stream/once | 10 |
      | refusal again without id | book        | 10 |
      | refusal again without id | read        | 10 |
      | refusal again without id | stream      | 10 |
      | refusal again without id | stream/once | 10 |
      | refusal twice            | book        | 0  |
      | refusal twice            | stream/once | 0  |

  Scenario Outline: A broken stream is never completed by the answer "<answer>"
    Given 1 entry daemons and 2 servers
    And a server breaks a stream off after 3 events and the other answers "<answer>"
    When callers send 6 requests of the kind "stream" one after the other
    Then each answer is cut off and holds whole events only

    Examples:
      | answer         |
      | fail           |
      | extra          |
      | fail as stream |
      | refuse         |
      | head cut       |
      | garbage        |

  Scenario Outline: An answer to <kind> whose head breaks off is no success
    Given 1 entry daemons and 2 servers
    And every server stops at each place of the head of its answers in turn
    When callers send 40 requests of the kind "<kind>" one after the other
    Then no answer is a success

    Examples:
      | kind        |
      | read        |
      | book        |
      | stream      |
      | stream/once |

  Scenario: No sequence of answers on a connection is taken for another
    Then for 400 drawn sequences of answers no refusal is untrue and no body foreign

  # Many small parts take more memory than their bytes.
  Scenario: No part of a message without end is kept
    Then for 60 drawn messages without end no parser keeps more than 2 MB

  # Each line came within the timeout of a read, so that a call had no end.
  Scenario Outline: Slow <part> without end hold no thread
    When a service sends <part> without end, a piece each 0.2 s
    Then the call <ends> within 6 s

    Examples:
      | part                  | ends  |
      | fields of a head      | fails |
      | bytes of a field      | fails |
      | trailer fields        | ends  |
      | bytes of a trailer    | ends  |
      | chunk extensions      | fails |

  # The kernel closes the connections of a process that is killed in an orderly way.
  Scenario Outline: An answer without a length of a service that <then> is <verdict>
    When a service sends an answer without a length and <then>
    Then the call <ends> within 6 s

    Examples:
      | then                                 | ends  | verdict |
      | serves on                            | ends  | whole   |
      | is killed                            | fails | broken  |
      | resets new connections               | ends  | whole   |
      | resets a new connection and is killed | fails | broken |

  # A server that reset a new connection was taken for one that had ended.
  Scenario Outline: A <kind> answer without a length of a server that <then>
    Given 1 entry daemons and 2 servers
    And every server sends answers without a length and <then>
    When a caller sends a "<kind>" request
    Then its answer is "<answer>" and it ran "<runs>" times

    Examples:
      | kind        | then                              | answer         | runs |
      | stream      | resets new connections            | 200 events 1-8 | 1    |
      | stream/once | resets new connections            | 200 events 1-8 | 1    |
      | book        | resets new connections            | 200 whole      | 1    |
      | read        | resets new connections            | 200 whole      | 1    |
      | stream      | is killed as it resets new ones   | 200 cut        | 2    |
      | stream/once | is killed as it resets new ones   | 200 cut        | 1    |
      | book        | is killed as it resets new ones   | 502            | 1    |
      | read        | is killed as it resets new ones   | 502            | 2    |

    # A new process at the address was taken for the one that had reset a connection.
    Examples:
      | kind        | then                              | answer         | runs |
      | stream/once | is killed and starts again        | 200 cut        | 1    |
      | book        | is killed and starts again        | 502            | 1    |

  # The same, asked and answered through another daemon.
  Scenario Outline: A <kind> answer through another daemon, of a server that <then>
    Given 2 entry daemons and 2 servers
    And the first daemon is cut off from every server
    And every server sends answers without a length and <then>
    When a caller sends a "<kind>" request
    Then its answer is "<answer>" and it ran "<runs>" times

    Examples:
      | kind        | then                            | answer         | runs |
      | stream/once | resets new connections          | 200 events 1-8 | 1    |
      | book        | resets new connections          | 200 whole      | 1    |
      | stream/once | is killed as it resets new ones | 200 cut        | 1    |
      | book        | is killed as it resets new ones | 502            | 1    |

  # Another daemon, asked after the address had refused, reached the next process.
  Scenario Outline: A <kind> answer of a server that is back when another daemon connects
    Given 2 entry daemons and 2 servers
    And its servers are killed and start again when the second daemon connects to them
    When a caller sends a "<kind>" request
    Then its answer is "<answer>" and it ran "1" times

    Examples:
      | kind        | answer  |
      | stream/once | 200 cut |
      | book        | 502     |

  # Connections in use were taken for a sign that the process runs, also if their ends
  # were not seen because their callers are slow.
  Scenario Outline: A stream without a length of a server all of whose connections are in use
    Given 1 entry daemons and 1 servers
    When its stream ends as it <then>, while slow callers hold its other connections
    Then the stream without a length is <verdict>

    Examples:
      | then      | verdict |
      | serves on | whole   |
      | is killed | cut     |

  # Only answers that are no streams were checked.
  Scenario Outline: A stream that is <how> without a signature is no success
    Given 2 entry daemons and 2 servers
    When callers have 10 streams <how> while servers leave the signature out
    Then no stream is complete, though servers ran some

    Examples:
      | how                              |
      | begun                            |
      | begun through another daemon     |
      | continued after a break          |
      | taken up                         |

  # A server that leaves may close its listening socket first.
  Scenario Outline: A stream without a length of a server that stops listening and <then>
    Given 1 entry daemons and 1 servers
    When its stream ends after it stopped listening and <then>
    Then the stream without a length is <verdict>

    Examples:
      | then                    | verdict |
      | serves another stream   | whole   |
      | is killed               | cut     |

  # urllib3 reads on after a reset that ended the writing of a request, and the kernel
  # reports a reset once: the next read finds an orderly end.
  Scenario: A service that resets a long upload amid an answer without a length is not whole
    When a service answers a long upload at once, without a length, and resets it 20 times
    Then no call is a success

  Scenario: A server that resets a long upload amid an answer without a length is not whole
    Given 1 entry daemons and 2 servers
    And every server answers a long upload at once, without a length, and resets it
    When callers send 20 uploads of 4000000 bytes
    Then no answer is a success

  Scenario Outline: An answer with the status <status> is no answer
    Then no parser takes an answer with the status "<status>" for one

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  # Garbage is collected by the number of objects, however large they are.
  Scenario: A closed connection keeps nothing of an answer without end
    Then a connection that is closed amid a field is freed at once

  # The time to parse them kept the daemon from all other requests.
  Scenario Outline: An answer with <n> <parts> is <verdict>
    Then a connection takes an answer with <n> <parts> as "<verdict>"

    Examples:
      | n    | parts           | verdict  |
      | 60   | interim answers | whole    |
      | 5000 | interim answers | broken   |
      | 200  | trailer fields  | whole    |
      | 5000 | trailer fields  | whole    |

  Scenario: An answer in chunks is complete with its last chunk only, however it is cut
    Then for 400 drawn answers in chunks no parser takes a part for the whole

  Scenario: A length is not believed
    Then an answer of 10 GB by its length takes at most 40 MB in the own interface

  # Each of many bodies is within its bound, all together exceeded the memory.
  Scenario Outline: Bodies of <n> <kind> at once take no more than their share of memory
    Given 1 entry daemons and 2 servers
    And the daemon may hold 8 MB of bodies
    When callers exchange <n> bodies of 3 MB in <kind> at once
    Then the daemon held at most 8 MB of bodies, and holds none at the end
    And some were answered, and those refused did not run

    Examples:
      | n  | kind     |
      | 12 | requests |
      | 12 | answers  |
