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
