Feature: A planned stop answers or refuses each request that it has read

  Scenario Outline: "<kind>" requests of any moment of the grace period get an answer
    Given 2 entry daemons and 2 servers
    And every server takes <work> s for a request
    When a daemon is stopped while callers send "<kind>" requests with a deadline of <deadline> s on open connections
    Then each request that the daemon has read was answered or refused
    And none of those refused as not run has run

    Examples:
      | kind        | work | deadline |
      | book        | 0.2  | 1        |
      | book        | 0.9  | 1        |
      | book        | 4.0  | 15       |
      | read        | 4.0  | 15       |
      | stream/once | 0.2  | 15       |
