Feature: Daemons of an earlier build and of the present one serve side by side
  Processes of the build of 91f7f4c, from the history, beside those of this one.

  Scenario Outline: <what> at daemons of both builds
    Given 2 daemons of the build 91f7f4c and 2 of the present one
    When <what> at all of them
    Then all of it is done, at most once, and every daemon knows the three others

    Examples:
      | what                                         |
      | callers read, book and follow streams        |
      | callers take streams up at the other build   |
      | the operator changes routes and revokes keys |

  # A field or a message that the other build does not know must not stop it.
  Scenario Outline: All daemons are replaced <how>, one after the other
    Given 4 daemons of the build <before>
    When they are replaced by the build <after> one after the other, under load
    Then no planned stop has lost an answer, and every daemon knows the three others
    And usage is reported on without a broken rule

    Examples:
      | how       | before  | after   |
      | by newer  | 91f7f4c | present |
      | by older  | present | 91f7f4c |

  Scenario: A restore of the store while both builds run
    Given 2 daemons of the build 91f7f4c and 2 of the present one
    When the store comes back from an older copy and a daemon of each build starts again
    Then all serve within 12 s, and a revoked key runs nowhere
    And usage is reported on without a broken rule
