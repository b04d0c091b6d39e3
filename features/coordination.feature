Feature: Leases, conditional writes and journals on a store that loses answers
  The components that all durable state relies on run against an in-memory object API
  that refuses, loses and delays calls and lets other clients act during them.

  Scenario: Leases under pauses, lost and late answers, outages and clock drift
    When 10000 interleavings of 3 lease holders are run
    Then no epoch was ever held by two holders
    And no two holders considered the lease theirs at the same instant
    And after the faults a holder acquired the lease within 2 lease terms

  Scenario: The outcome of a write whose answer was lost is determined, never guessed
    When 3000 interleavings of 2 racing writers are run
    Then every write reported as written or superseded took effect exactly once
    And no write reported as not written ever took effect

  Scenario Outline: One lost answer
    Given a store where the next write is <fault>
    When a value is written to an absent key
    Then the verdict is <verdict>

    Examples:
      | fault       | verdict     |
      | none        | written     |
      | lost_after  | written     |
      | lost_before | written     |
      | late        | written     |
      | refused     | not_written |

  Scenario: A journal with racing writers loses no acknowledged entry
    When 1500 interleavings of 2 journal writers are run
    Then every acknowledged entry is in the journal exactly once
    And no entry that was refused as fenced is in the journal

  Scenario: A previous owner that resumes in the middle of a write is fenced
    Given a journal that owner A has opened with epoch 1
    When A is paused before its append and owner B opens it with epoch 2
    Then the append of A is refused as fenced
    And the journal contains only the entries that B read

  Scenario: Segments are sealed, chained and dropped by age
    Given a journal with segments of 2048 bytes
    When 200 entries of 100 bytes are appended in batches of 10
    Then it has 7 segments and no value over 8192 bytes
    And a new owner reads the 200 entries in order
    And dropping entries older than entry 150 leaves the others up to 200 readable
