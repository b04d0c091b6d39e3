Feature: A request that crashes servers is held back by the daemons of our own interface

  @fresh_fleet
  Scenario Outline: A <kind> that crashes engines is refused after a few crashes
    Given engines crash on prompts with the text "poison"
    When callers send a <kind> with that text and sound ones over all daemons for 8 s
    Then at most 3 engines crash later than 3 s after the fifth crash
    And prompts with the text are refused as quarantined and not run
    And nine in ten sound prompts were answered in the last 3 s

    Examples:
      | kind    |
      | chat    |
      | summary |

  @fresh_fleet
  Scenario Outline: A <kind> that crashes the servers of a service is refused after a few crashes
    Given the servers of the service crash on calls with the text "poison" and accept connections for <linger> s more
    When callers send a <kind> with that text and sound ones over all daemons for 8 s
    Then at most 3 servers crash later than 3 s after the third crash
    And calls with the text are refused as quarantined and not run
    And nine in ten sound calls were answered in the last 3 s

    Examples:
      | kind    | linger |
      | booking | 0.0    |
      | look-up | 0.0    |
      | look-up | 0.2    |

  Scenario Outline: A trial of a held <what> that is not sent is not spent
    Given a relay that holds a <what> which may be tried now
    When a <what> that tries it is refused for another reason
    Then the next <what> may try it and the one after that may not

    Examples:
      | what    |
      | summary |
      | call    |

  Scenario Outline: A trial of a held <what> that no server has taken is not spent
    Given a relay that holds a <what> which may be tried now
    When a <what> that tries it is sent to a server that refuses connections
    Then the next <what> may try it and the one after that may not

    Examples:
      | what    |
      | summary |
      | call    |

  Scenario Outline: A crash that two daemons notice <how> counts once
    Given two daemons whose calls are on two servers when these crash
    When each of them notices the crashes <how>
    Then neither of them holds the call

    Examples:
      | how                                      |
      | 4 ms apart                               |
      | long after the other's report            |
      | while the address accepts connections    |

  Scenario: A server that starts again under its id may crash again
    Given two daemons whose calls are on two servers when these crash
    When a server crashes three times, 0.8 s apart
    Then one of them holds the call

  # A busy engine that reset new connections counted as crashed.
  Scenario Outline: An engine that <does> new connections <verdict> for its daemon
    Given the paths of a daemon to an engine that <does> new connections
    Then the engine <verdict> in each of 30 checks

    Examples:
      | does    | verdict     |
      | resets  | runs        |
      | refuses | has crashed |
