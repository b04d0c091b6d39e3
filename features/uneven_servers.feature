Feature: Servers of uneven speed

  Scenario Outline: A load of <value> counts as <counted>
    # Guards against losing the whole load of a server because of its optional figure.
    Then a server's load of "<value>" counts as "<counted>"

    Examples:
      | value           | counted         |
      | 3,0,6           | 3 0 6 None      |
      | 3,0,6,100       | 3 0 6 100.0     |
      | 3, 1, 6, 250    | 3 1 6 250.0     |
      | 3,0,6,182.5     | 3 0 6 182.5     |
      | 3,0,6,          | 3 0 6 None      |
      | 3,0,6,fast      | 3 0 6 None      |
      | 3,0,6,-100      | 3 0 6 None      |
      | 3,0,6,0         | 3 0 6 None      |
      | 3,0,6,nan       | 3 0 6 None      |
      | 3,0,6,inf       | 3 0 6 None      |
      | 3,0,6,999999999 | 3 0 6 None      |
      | 3,0,6,0.000001  | 3 0 6 None      |
      | 3,0             | nothing         |
      | 3,0,x,100       | nothing         |
      | 3,0,6,100,1     | nothing         |

  Scenario: An engine of speed 0.55 is told from one of 1.2 in spite of noise and queues
    # Guards against estimates that follow outliers or the engine's queue.
    Then in 500 random histories the learned rates tell the two apart, with 15% of the answers 2.5 times as slow, half of them queued and a tenth cached

  Scenario Outline: A figure of <percent> that is <age> s old counts as about <counted>
    # Guards against decisions by a figure that no longer holds.
    Then a figure of <percent> that is <age> s old counts as <counted>

    Examples:
      | percent | age | counted |
      | 250     | 0.0 | 250     |
      | 250     | 0.3 | 191     |
      | 250     | 1.0 | 100     |
      | 250     | 9.0 | 100     |
      | 100     | 0.3 | 100     |
      | missing | 0.0 | 100     |

  Scenario: A server without a learned speed gets the median of its service
    # Guards against new servers that get no requests, or all of them.
    Then a server without answers gets the rate of the middle one of servers that read 20000, 40000 and 44000 tokens a second

  Scenario Outline: Another daemon reports a figure of <value>
    # Guards against a value that spoils every later prediction and ends the exchange.
    Then a reported figure or sample of <value> is ignored

    Examples:
      | value |
      | nan   |
      | inf   |
      | 0     |
      | -1    |

  Scenario: Samples of a daemon whose VM has booted again are learned
    # Guards against ignoring a daemon because its clock has begun anew, and against
    # keeping a clock for every daemon that ever was.
    Then samples of a daemon count once, and again when its clock has begun anew 10 s later
    And no clock is kept of a daemon that has been silent for 10 s

  Scenario Outline: Daemons choose among plain servers with noisy neighbours at <rate> requests a second
    # Guards against herds towards a server that was fast a moment ago.
    When 69 daemons send 4 plain servers of 6 slots <rate> requests a second
    Then the 95th percentile of the answers is lower than before and than in turns

    Examples:
      | rate |
      | 120  |
      | 200  |
      | 260  |

  Scenario Outline: Daemons choose among engines of uneven speed that state <figures>
    # Guards against the assumption that all engines read equally fast.
    When 69 daemons send 35 engines that state "<figures>" prompts at 0.6 of their capacity
    Then the 95th percentile of the first tokens is lower than before and than in turns
    And the prediction error of the first tokens is lower than before

    Examples:
      | figures     |
      | their speed |
      | 100         |

  Scenario: Figures stop arriving
    # Guards against decisions that go on with the last figures.
    When 69 daemons send 4 plain servers of 6 slots 200 requests a second and the figures end after 20 s
    Then the 95th percentile of the answers after that is no higher than before

  Scenario: Servers that state three figures are chosen as before
    # Guards against changes for earlier deployments.
    When 69 daemons send 4 plain servers that state no figure 200 requests a second
    Then every answer takes as long as before

  Scenario: An engine of speed 0.55 counts as 0.55 servers in the work that sizes a fleet
    # Guards against a fleet that is sized for engines of the usual speed.
    Then the work metered for the same prompts on engines of speed 0.55 is that on engines of speed 1 divided by 0.55

  Scenario Outline: Two daemons with servers that state a load of <load>
    # Guards against speeds that are not used, not exchanged, or used where no server
    # states a fourth figure.
    Given two entry daemons and servers that state a load of "<load>"
    When the first daemon is sent 10 plain requests and 10 prompts
    Then the first daemon has learned "<learned>" and shows the prediction error: "<learned>"
    And the other daemon has heard of the speeds: "<learned>"

    Examples:
      | load      | learned |
      | 1,0,8     | no      |
      | 1,0,8,250 | yes     |
      | 1,0,8,x   | no      |
