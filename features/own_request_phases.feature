Feature: The product's own daemon leaves no request without an answer
  A request whose last byte has reached a daemon gets a complete answer; otherwise its
  connection is closed before its caller has sent that byte.

  Scenario Outline: A request <phase> when <ending>
    When requests of all phases are under way and <ending>
    Then each caller with a request "<phase>" has its answer or knows it was not read

    Examples:
      | phase                        | ending                                  |
      | whole, in the kernel's queue | SIGTERM comes                           |
      | connected, nothing sent      | SIGTERM comes                           |
      | half a head                  | SIGTERM comes                           |
      | half a body                  | SIGTERM comes                           |
      | deferred                     | SIGTERM comes                           |
      | on a kept connection         | SIGTERM comes                           |
      | a booking under way          | SIGTERM comes                           |
      | an answer read slowly        | SIGTERM comes                           |
      | streams queued and running   | SIGTERM comes                           |
      | whole, in the kernel's queue | SIGTERM comes to one after the other    |
      | connected, nothing sent      | SIGTERM comes to one after the other    |
      | half a head                  | SIGTERM comes to one after the other    |
      | half a body                  | SIGTERM comes to one after the other    |
      | deferred                     | SIGTERM comes to one after the other    |
      | on a kept connection         | SIGTERM comes to one after the other    |
      | a booking under way          | SIGTERM comes to one after the other    |
      | an answer read slowly        | SIGTERM comes to one after the other    |
      | streams queued and running   | SIGTERM comes to one after the other    |
      | whole, in the kernel's queue | SIGTERM comes and the processor is late |
      | connected, nothing sent      | SIGTERM comes and the processor is late |
      | half a head                  | SIGTERM comes and the processor is late |
      | half a body                  | SIGTERM comes and the processor is late |
      | deferred                     | SIGTERM comes and the processor is late |
      | on a kept connection         | SIGTERM comes and the processor is late |
      | a booking under way          | SIGTERM comes and the processor is late |
      | an answer read slowly        | SIGTERM comes and the processor is late |
      | streams queued and running   | SIGTERM comes and the processor is late |
      | whole, in the kernel's queue | SIGTERM comes right after the start     |
      | connected, nothing sent      | SIGTERM comes right after the start     |
      | half a head                  | SIGTERM comes right after the start     |
      | half a body                  | SIGTERM comes right after the start     |
      | deferred                     | SIGTERM comes right after the start     |
      | on a kept connection         | SIGTERM comes right after the start     |
      | a booking under way          | SIGTERM comes right after the start     |
      | an answer read slowly        | SIGTERM comes right after the start     |
      | streams queued and running   | SIGTERM comes right after the start     |
      | whole, in the kernel's queue | SIGTERM comes with a configuration      |
      | connected, nothing sent      | SIGTERM comes with a configuration      |
      | half a head                  | SIGTERM comes with a configuration      |
      | half a body                  | SIGTERM comes with a configuration      |
      | deferred                     | SIGTERM comes with a configuration      |
      | on a kept connection         | SIGTERM comes with a configuration      |
      | a booking under way          | SIGTERM comes with a configuration      |
      | an answer read slowly        | SIGTERM comes with a configuration      |
      | streams queued and running   | SIGTERM comes with a configuration      |
      | whole, in the kernel's queue | its VM is reclaimed                     |
      | connected, nothing sent      | its VM is reclaimed                     |
      | half a head                  | its VM is reclaimed                     |
      | half a body                  | its VM is reclaimed                     |
      | deferred                     | its VM is reclaimed                     |
      | on a kept connection         | its VM is reclaimed                     |
      | a booking under way          | its VM is reclaimed                     |
      | an answer read slowly        | its VM is reclaimed                     |
      | streams queued and running   | its VM is reclaimed                     |

  Scenario: A daemon that is stopped while it starts leaves no request without an answer
    Given a daemon that is starting
    When 10 callers send requests and it is stopped as soon as it accepts connections
    Then each of them has its answer or knows it was not read, and the daemon ends well

  Scenario: A daemon accounts for all requests that it read
    When requests of all phases are under way and SIGTERM comes
    Then at its end each daemon names how every request that it read has ended

  Scenario: A daemon that is ended at once names the requests that it leaves unfinished
    Given a daemon with 5 streams under way
    When this daemon gets SIGTERM twice
    Then its log names each of the 5 requests and what it was busy with
