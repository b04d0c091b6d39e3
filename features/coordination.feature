Feature: Leases, conditional writes and journals on a store that loses answers
  The parts that everything durable rests on, run against an object API in memory
  that refuses, loses and delays calls and lets others act in between.

  Scenario: Leases under pauses, lost and late answers, outages and clock drift
    When 10000 interleavings of 3 lease holders are run
    Then no epoch was ever held by two holders
    And no two holders believed to hold at the same instant
    And after the faults a holder got the lease within 2 lease terms

  Scenario: A write whose answer was lost is resolved, never guessed
    When 3000 interleavings of 2 racing writers are run
    Then every write that was called written or superseded took effect once
    And every write that was called not written never took effect

  Scenario Outline: One lost answer
    Given a store where the next write is <fault>
    When a value is written over nothing
    Then the verdict is <verdict>

    Examples:
      | fault       | verdict     |
      | none        | written     |
      | lost_after  | written     |
      | lost_before | written     |
      | late        | written     |
      | refused     | not_written |

  Scenario: A journal under racing writers loses no appended entry
    When 1500 interleavings of 2 journal writers are run
    Then every entry that was acknowledged is in the journal once
    And no entry that was refused by a fence is in the journal

  Scenario: An old owner that wakes in the middle of a write is fenced
    Given a journal that owner A has opened with epoch 1
    When A is paused before its append and owner B opens it with epoch 2
    Then the append of A is refused as fenced
    And the journal holds only what B can see

  Scenario: Segments are sealed, chained and dropped by age
    Given a journal with segments of 2048 bytes
    When 200 entries of 100 bytes are appended in batches of 10
    Then it has 7 segments and no value over 8192 bytes
    And a new owner reads the 200 entries in order
    And dropping what is older than entry 150 leaves it to 200 readable
