Feature: No phase of a request loses it in a planned ending

  Times are seconds after the ending; `a..b` is drawn, `+` counts from the step before.

  Scenario Outline: Callers in every phase of a request, and <ending>
    Given an entry daemon process with services of every kind
    And callers that do this
      | phase                           | n | route  | steps                                            |
      | in the kernel's queue           | 4 | read   | -0.04 open, +0 whole, read                       |
      | connected and nothing sent      | 6 | book   | -0.5 open, 0..4.6 whole, read                    |
      | half a head                     | 4 | book   | -0.5 open, -0.3..0 head, +0.1..0.9 rest, read    |
      | half a body                     | 4 | book   | -0.5 open, -0.3..0 body, +0.1..0.9 rest, read    |
      | half a body, late               | 6 | book   | 3.5..4.6 open, +0 body, +0.1..0.9 rest, read     |
      | behind another                  | 4 | slow   | -0.5 open, -0.2..0 three, read                   |
      | behind another, late            | 4 | read   | 4..4.6 open, +0 three, read                      |
      | waiting for a server            | 4 | narrow | -0.5 open, -0.2..0 whole, read                   |
      | sent to a server                | 4 | slow   | -0.5 open, -0.4..0 whole, read                   |
      | in a stream begun before        | 4 | stream | -0.5 open, -0.2..0 whole, read                   |
      | in a stream begun after         | 4 | stream | -0.5 open, 0..2 whole, read                      |
      | answered and unsent             | 3 | large  | -0.9 small, -0.8 whole, 4.4..5.2 read            |
      | in the next request             | 4 | slow   | -1.1 open, +0 whole, read, -0.1..0 whole, read   |
      | kept and used again             | 8 | read   | -0.6 open, -0.5 whole, read, 0..4.6 whole, read  |
      | used again and again            | 4 | read   | -0.6 open, -0.5 whole, 0 read, +0.5..1 whole, read, +0.5..1 whole, read, +0.5..1 whole, read, +0.5..1 whole, read |
      | new at any time                 | 8 | read   | 0..4.7 open, +0 whole, read                      |
    When the ending is "<ending>"
    Then each caller whose last byte was sent in time got a complete answer
    And what was refused did not run
    And the daemon ended by itself, and its account agrees

    Examples:
      | ending                                     |
      | SIGTERM                                    |
      | two SIGTERM                                |
      | SIGHUP and then SIGTERM                    |
      | SIGTERM soon after the start               |
      | SIGTERM and a server that leaves           |
      | SIGTERM and a loop 0.05 s late             |
      | SIGTERM and a loop 0.3 s late              |
      | SIGTERM and a loop 1 s late                |
      | SIGTERM and no configuration               |
      | configurations                             |
      | configurations and SIGTERM                 |
      | SIGTERM and no store                       |
      | SIGTERM and a slow store                   |
      | SIGTERM and work for longer than the grace |
