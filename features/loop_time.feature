@alone
Feature: No sender takes the time of a daemon's event loop from the others

  Real daemon processes on loopback addresses. The route of the ordinary requests has a
  `TimeoutMs` of 1,500.

  # Each piece of an event was joined to all before it and searched again.
  Scenario: An engine's event without end in small pieces leaves time for the others
    Given an entry daemon process with 160 MB of memory and 1638 descriptors
    And the first server sends events without end in pieces of 5 bytes
    When 8 clients play the load "streams" for 4 s beside ordinary requests
    Then all ordinary requests are answered within 1.5 s

  # A read of 256 KB made 43,000 calls before any other connection had its turn.
  Scenario Outline: <n> clients with <load> leave time for the others
    Given an entry daemon process with 160 MB of memory and 1638 descriptors
    When <n> clients play the load "<load>" for 4 s beside ordinary requests
    Then all ordinary requests are answered within 1.5 s

    Examples:
      | load                     | n  |
      | bodies in chunks of 1 B  | 20 |
      | short header lines       | 60 |
      | pipelined requests       | 20 |

  # Each megabyte of such text took the event loop about a second.
  Scenario Outline: Entries of another writer with <oddity> leave time for the others
    Given an entry daemon process with 160 MB of memory and 1638 descriptors
    When another writer stores 1 MB with <oddity> every 0.3 s for 4 s beside ordinary requests
    Then all ordinary requests are answered within 1.5 s

    Examples:
      | oddity                   |
      | keys that are numbers    |
      | very deep nesting        |
      | half of surrogate pairs  |

  Scenario: A body in chunks of one byte is served
    Given an entry daemon process with 160 MB of memory and 1638 descriptors
    And its routes allow 8 s for a request
    Then a body of 1048576 bytes in chunks of 1 byte is answered

  # Threads that parsed heads in Python took the interpreter from one that served.
  Scenario Outline: At the own interface <n> clients with <load> leave time for the others
    Given a daemon process of the own interface with 8 threads and 1638 descriptors
    When <n> clients play the load "<load>" for 4 s beside ordinary requests
    Then all ordinary requests are answered within 1.5 s

    Examples:
      | load                     | n  |
      | bodies in chunks of 1 B  | 20 |
      | short header lines       | 60 |
      | unusual names            | 60 |
