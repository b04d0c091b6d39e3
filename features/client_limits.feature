@alone
Feature: No client load exhausts a daemon's memory or descriptors

  Real daemon processes on loopback addresses. The bounds are the memory and the
  descriptors that the scenario's own settings state. A quarter of the descriptors must
  stay free for servers, the store and other daemons. While the clients stay connected,
  one ordinary request must be answered.

  Scenario Outline: An entry daemon withstands <n> clients with <load>
    Given an entry daemon process with 100 MB of memory and <descriptors> descriptors
    When <n> clients play the load "<load>" for 4 s
    Then the process lives and one ordinary request is answered
    And its memory stayed below 100 MB
    And it never held more than three quarters of its <descriptors> descriptors

    Examples:
      | load                     | n   | descriptors |
      | large bodies             | 60  | 1638        |
      | short header lines       | 120 | 1638        |
      | short header lines, open | 200 | 1638        |
      | unusual names            | 120 | 1638        |
      | unusual names, open      | 300 | 1638        |
      | unsent answers           | 60  | 1638        |
      | idle connections         | 300 | 256         |

    @known_red
    Examples:
      | load                     | n   | descriptors |
      | pipelined requests       | 200 | 1638        |

  Scenario: An entry daemon withstands all loads one after the other
    Given an entry daemon process with 100 MB of memory and 1638 descriptors
    When 60 clients play each load for 2 s
    Then the process lives and one ordinary request is answered
    And its memory stayed below 100 MB
    And it never held more than three quarters of its 1638 descriptors

  # Only the front address counted what callers make a daemon hold.
  Scenario: An entry daemon withstands 60 clients with large bodies at its directory
    Given an entry daemon process with 100 MB of memory and 1638 descriptors
    When 60 clients play the load "large bodies" at the directory for 4 s
    Then the process lives and one ordinary request is answered
    And its memory stayed below 100 MB
    And it never held more than three quarters of its 1638 descriptors
    And the directory answers

  # What is known of the engines' KV caches was bounded by tokens, not by parts.
  Scenario: An entry daemon withstands prompts of 1,500 parts of one token
    Given an entry daemon process with 100 MB of memory and 1638 descriptors
    And its servers are engines with a KV cache of 50000000 tokens
    When 8 clients send prompts of 1500 parts of one token for 8 s
    Then the process lives and one ordinary request is answered
    And its memory stayed below 100 MB

  # The incomplete event of a stream, up to 1 MiB, counted nowhere.
  Scenario: An entry daemon withstands events without end on 200 streams
    Given an entry daemon process with 100 MB of memory and 1638 descriptors
    And the servers send events of 1 MiB without an end
    When 200 clients ask for streams for 4 s
    Then the process lives and one ordinary request is answered
    And its memory stayed below 100 MB

  Scenario: A request of the largest legal size is served when there is no overload
    Given an entry daemon process with 100 MB of memory and 1638 descriptors
    Then a body of 4194304 bytes is answered
    And a header section of 16384 bytes with the shortest lines is answered

  # A datagram of over 64 KB is never sent, so the daemon was taken for lost.
  Scenario: Long ids of prompt parts and streams keep no datagram from other daemons
    Given 2 entry daemons and 2 servers
    When clients send for 4 s streams with ids of 500 and 11 prompt parts of 1200 characters
    Then meanwhile each daemon heard from the other within 1 s
    And no daemon keeps more than 64 characters of the id of a stream

  Scenario Outline: A daemon of the own interface withstands <n> clients with <load>
    Given a daemon process of the own interface with 8 threads and <descriptors> descriptors
    When <n> clients play the load "<load>" for 4 s
    Then the process lives and one ordinary request is answered
    And its memory stayed below 160 MB
    And it never held more than three quarters of its <descriptors> descriptors

    Examples:
      | load                     | n   | descriptors |
      | large bodies             | 60  | 1638        |
      | short header lines       | 60  | 1638        |
      | short header lines, open | 60  | 1638        |
      | unusual names            | 60  | 1638        |
      | unusual names, open      | 60  | 1638        |
      | pipelined requests       | 60  | 1638        |
      | unsent answers           | 60  | 1638        |
      | idle connections         | 300 | 256         |
