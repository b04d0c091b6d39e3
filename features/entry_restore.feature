Feature: Entry daemons go on after the store came back from an older copy
  Scenarios in which nothing changes for a caller hold without eras, too: they guard what
  an order that trusts the copy would break.

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

  Scenario: A change under a revision that was given out before the restore is not missed
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back with a new change under a revision that it gave out before
    Then within 2 s every daemon serves the new route and none of an older version

  Scenario: What is in force does not go back with the store
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back from the copy at once
    And the last daemon starts again
    Then for 1.5 s no daemon serves an older version

  Scenario: A key that was revoked stays revoked
    Given 3 entry daemons and a copy of the store before the key was revoked
    When the store comes back from the copy at once
    And the last daemon starts again
    Then for 1.5 s no daemon accepts the key

  Scenario: Callers notice nothing of a restore
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back from the copy after 1 s away while callers send requests for 5 s
    Then all of their requests were answered

  Scenario: A daemon that stood still through two restores serves the new change
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the last daemon stands still while the store comes back from the copy twice
    And the operator writes the last change again and then a new one
    Then within 2 s every daemon serves the new route and none of an older version

  Scenario Outline: An era that is <value> leaves changes in force in time
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store names the era "<era>" from now on
    And the operator writes the last change again and then a new one
    Then within 2 s every daemon serves the new route and none of an older version

    Examples:
      | value     | era                     |
      | missing   |                         |
      | text      | x                       |
      | negative  | -1                      |
      | a list    | 1, 2                    |
      | a date    | 2026-12-04              |
      | too long  | 99999999999999999999999 |
      | too large | 999999999999999999      |
      | a falling | 0                       |

  Scenario: A restore is noticed after an era that cannot be
    Given 3 entry daemons and a copy of the store before 4 changes of the configuration
    When the store names the era "999999999999999999" from now on
    And the store names the era "1" from now on
    And the store comes back from the copy at once
    Then within 2 s every daemon has noticed the restore

  Scenario: An answer that was asked before a restore does not confirm keys
    Given 1 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back from the copy at once
    Then a list that was asked 0.5 s before the restore confirms nothing

  Scenario Outline: An answer of era <stated>, asked <asked>, is <verdict>
    Then an answer of era "<stated>" asked "<asked>" era 5 was learnt is "<verdict>"

    Examples:
      | stated | asked  | verdict  |
      |        | before | current  |
      | 5      | before | current  |
      | 6      | before | risen    |
      | 7      | after  | risen    |
      | 4      | before | outdated |
      | 4      | after  | current  |

  Scenario Outline: A server that <change> before a restore <state>
    Given 3 entry daemons whose first server <change> after a copy of the store
    When the store comes back from the copy at once
    Then for 1.5 s the first server <state>

    Examples:
      | change             | state           |
      | was removed        | gets no request |
      | began to leave     | gets no request |
      | came               | gets requests   |

  Scenario Outline: A server that <change> before a restore and writes its entry again is used
    Given 3 entry daemons whose first server <change> after a copy of the store
    When the store comes back from the copy at once
    And the first server writes another entry
    Then within 1 s the first server gets requests

    Examples:
      | change             |
      | was removed        |
      | began to leave     |

  Scenario: An entry that stands after its server had time to expire is used
    Given 3 entry daemons whose first server was removed after a copy of the store
    When the store comes back from the copy at once
    Then within 6 s the first server gets requests

  Scenario: A neighbour's whole state does not drop a server that had come back
    Given 3 entry daemons whose first server came after a copy of the store
    When the store comes back from the copy at once
    And every daemon merges the whole state of every other
    Then for 0.5 s the first server gets requests

  Scenario: A server that does not write its entry again is dropped
    Given 3 entry daemons whose first server came after a copy of the store
    When the store comes back from the copy at once
    Then within 4 s no daemon lists the first server

  Scenario: Few daemons list the store anew after a restore
    Given 9 entry daemons and a copy of the store before 4 changes of the configuration
    When the store comes back from the copy at once
    And the operator writes the last change again and then a new one
    Then within 2 s every daemon serves the new route and none of an older version
    And the store got at most 12 lists of configuration and servers since

  Scenario Outline: The duties go on <what> and no holder breaks a rule
    Given 3 entry daemons with duties
    When the store comes back from an older copy <what>
    Then no duty holder breaks a rule
    And reports go on within 12 s

    Examples:
      | what                                |
      | twice                               |
      | and the duty holder is killed       |
      | of before they changed hands        |

  # A holder that started after a restore reported windows again, with other counts.
  Scenario Outline: No window is reported twice when <who> after a report is lost
    Given 3 entry daemons with duties
    When a report is lost with the store's copy and <who>
    Then no duty holder breaks a rule
    And reports go on within 20 s

    Examples:
      | who                          |
      | the duty holder starts again |
      | all daemons start again      |

  # Daemons that started after a restore took the copy for all that was acknowledged.
  Scenario Outline: A key that was revoked runs no request after <who> start again, too
    Given 3 entry daemons and a copy of the store before the key was revoked
    When the store is restored while <who> start again
    And the operator revokes the key again 1 s later
    Then no request with the key has run in 3 s

    Examples:
      | who              |
      | all daemons      |
      | the last daemon  |

  # Without a record, daemons that started took a restored store for one never restored.
  Scenario: A key that was revoked runs no request if an earlier build wrote the copy
    Given 3 entry daemons and a copy of the store before the key was revoked
    And the copy has no record of the era
    When the store is restored while all daemons start again
    And the operator revokes the key again 1 s later
    Then no request with the key has run in 3 s

  Scenario Outline: After a plain restart of <who> no window is lost and keys run at once
    Given 3 entry daemons with duties
    When <who> are killed after a report and start again
    Then requests with the key run within 1 s
    And no report is missing and no duty holder breaks a rule

    Examples:
      | who              |
      | all daemons      |
      | the duty holder  |

  Scenario Outline: A record of the era that is <odd> stops no daemon
    Given 1 entry daemons and a copy of the store before 4 changes of the configuration
    When another writer stores a record of the era that is <odd>
    And the last daemon starts again
    Then within 4 s it is ready, and the record is of the present era

    Examples:
      | odd                  |
      | a list               |
      | text                 |
      | of a later era       |
      | from the future      |

  Scenario: Daemons are listed in the store again after a restore
    Given 3 entry daemons and a copy of the store before the last daemon was listed
    When the store comes back from the copy at once
    Then within 8 s the store lists 3 daemons
