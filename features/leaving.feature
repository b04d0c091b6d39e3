Feature: Daemons and engines leave without cutting off streams
  Daemons and engines are stopped or reclaimed while streams are open.

  @fresh_fleet
  Scenario: A planned stop cuts off no request
    Given 30 open streams of 300 tokens over all daemons
    When the first daemon is asked to drain
    Then it ends by itself with status 0 within 30 s
    And every stream is complete
    And no stream had to be resumed

  @fresh_fleet
  Scenario: A leaving daemon refuses new work as not run and names other addresses
    Given 6 open streams of 600 tokens over all daemons
    When the first daemon is asked to drain
    And the addresses kept by its callers have expired
    Then it refuses a request as leaving and names 2 other addresses

  @fresh_fleet
  Scenario Outline: A daemon is reclaimed while streams are open
    Given 60 open streams of 900 tokens over all daemons
    When <what> with 5 s of notice
    Then every stream is complete
    And streams had to be resumed

    Examples:
      | what                                                  |
      | the first daemon is reclaimed                         |
      | the first daemon is reclaimed twice                   |
      | the first daemon and its successor are reclaimed      |
      | the first daemon is reclaimed and dies after 3 s      |

  @fresh_fleet
  Scenario: No successor answers, so requests are handed over through the object API
    Given 12 open streams of 900 tokens over all daemons
    When both other daemons are paused for 3.5 s and the first is reclaimed with 5 s
    Then every stream is complete

  @fresh_fleet
  Scenario: An engine is reclaimed while streams are open
    Given 24 open streams of 700 tokens over all daemons
    When the first engine is reclaimed with 3 s of notice
    Then every stream is complete
    And no stream had to be resumed
    And the engine was sent no new work later than 3 s after its notice

  @fresh_fleet
  Scenario: An engine dies without notice while streams are open
    Given 24 open streams of 300 tokens over all daemons
    When the first engine is stopped without notice
    Then every stream is complete
    And no stream had to be resumed

  Scenario Outline: The way chosen for a stream on a leaving engine
    Given a leaving engine with <left> s left that <moves> its cache
    When a stream with <context> tokens of context and <tokens> to come at 0.04 s each is planned
    Then the chosen way is <way>

    Examples:
      | left | moves        | context | tokens | way     |
      | 30   | can move     | 4000    | 200    | finish  |
      | 5    | can move     | 4000    | 200    | move    |
      | 5    | cannot move  | 4000    | 200    | restart |
      | 0.4  | can move     | 4000    | 200    | restart |
      | 0.4  | can move     | 10      | 1      | restart |
