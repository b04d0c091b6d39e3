Feature: Entry daemons go on after the store came back from an older copy

  @known_red
  Scenario Outline: A change after a restore is in force in time, <trouble>
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back from the copy <trouble>
    And the operator writes the last change again and then a new one
    Then within 2 s every daemon serves the new route and none of an older version

    Examples:
      | trouble                                            |
      | at once                                            |
      | after 1 s away                                     |
      | twice                                              |
      | twice in a row with changes between                |
      | while the watches of the daemons hang              |
      | while the last daemon is cut from the store        |
      | while the last daemon hears from no other          |
      | while the last daemon starts again                 |
      | while all daemons start again                      |

  @known_red
  Scenario: A change under a revision that was given out before the restore is not missed
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back with a new change under a revision that it gave out before
    Then within 2 s every daemon serves the new route and none of an older version

  Scenario: What is in force does not go back with the store
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back from the copy at once
    And the last daemon starts again
    Then for 1.5 s no daemon serves an older version
