Feature: A stream goes on only at the software version that began it

  Scenario: A broken stream continues at a server of its version
    Given 1 entry daemons and servers of the versions v1,v1,v2,v2
    And the servers of version v1 break off every other stream
    When callers send 24 streams
    Then every answer is whole and no stream ran at two versions

  Scenario: A broken stream without another server of its version is cut
    Given 1 entry daemons and servers of the versions v1,v2
    And the servers of version v1 break off every stream
    When callers send 12 streams
    Then the streams of version v1 are cut and no stream ran at two versions

  Scenario Outline: A run moves only to a server of its version
    Given 1 entry daemons and servers of the versions <versions>
    When a stream runs at version v1 and its server announces that it leaves in 0.9 s
    Then it is whole, and <n> other server of version v1 and none of v2 went on with it

    Examples:
      | versions | n |
      | v1,v1,v2 | 1 |
      | v1,v2    | 0 |

  Scenario Outline: A stream that a caller takes up at <place> stays at its version
    Given 3 entry daemons and servers of the versions v1,v1,v2,v2
    When 16 callers lose their streams at the first daemon and take them up at <place>
    Then every stream is whole and no stream ran at two versions

    Examples:
      | place                              |
      | the same daemon                    |
      | another daemon                     |
      | another daemon, the first one dead |

  # Its entry names the earlier version until the new process has written its own.
  Scenario: A stream does not go on at a server that came back at another version
    Given 1 entry daemons and servers of the versions v1,v2
    When a stream's server is killed and comes back as v3, but its entry says v1
    And the caller takes the stream up while the entry says v1
    Then no stream of the caller ran at two versions

  # The end of the server is seen by another daemon, on behalf of one that is cut off.
  Scenario: A daemon that is cut off from a server that came back at another version
    Given 2 entry daemons and servers of the versions v1,v2
    When a stream's server is killed and comes back as v3 at a daemon that it was cut off from
    Then no stream of the caller ran at two versions

  # A daemon took each server that had reset a connection for one that comes back.
  Scenario Outline: A stream of a server that resets connections, then <then>
    Given 1 entry daemons and servers of the versions v1,v2
    When a stream is lost at a server that resets new connections, then <then>
    Then the stream, taken up at once, is <outcome>

    Examples:
      | then                                 | outcome                 |
      | has kept ones without a request      | whole at its version    |
      | takes new ones while streams run     | whole at its version    |
      | stops listening and v3 takes its address | refused and has not run |
      | is killed and comes back as v3       | refused and has not run |
      | is killed amid streams and comes back as v3 | refused and has not run |

  Scenario: A stream that begins at such a server is one of the new version
    Given 1 entry daemons and servers of the versions v1,v1
    When a stream is sent to a server that came back as v3, before its entry says so
    And the caller takes the stream up after the entry says so
    Then the stream is whole and ran at version v3 only

  Scenario: A stream of before a second version is taken up at its version
    Given 3 entry daemons and servers of the versions v1,v1
    When 12 callers lose their streams and a server of version v2 starts before the first daemon dies
    Then the streams are whole and ran at version v1 only

  Scenario: A stream whose version has no server left is refused
    Given 2 entry daemons and servers of the versions v1,v2
    When 24 callers lose their streams and the servers of version v1 leave before they take them up
    Then the streams of version v1 are refused as not run and the others are whole

  Scenario Outline: A stream of unknown origin is <outcome> while <versions> serve
    Given 2 entry daemons and servers of the versions <versions>
    When a caller takes up a stream that <origin>
    Then it is <outcome> at once

    Examples:
      | versions | origin                            | outcome        |
      | v1,v2    | no daemon knows                   | refused        |
      | v1,v2    | names no attempt                  | refused        |
      | v1,v1    | no daemon knows                   | continued      |

  Scenario: A daemon without contact to the others continues no stream of unknown origin
    Given 2 entry daemons and servers of the versions v1,v1
    When the second daemon hears from no other while a server of version v2 starts
    And a caller takes up a stream at the second daemon
    Then it is refused at once

  # Daemons that start took the versions of their first list for all that there were.
  Scenario Outline: Streams of before <killed> daemons were killed, while <serving> serve
    Given 3 entry daemons and servers of the versions <before>
    When 12 callers lose their streams and <killed> daemons are killed
    And meanwhile <change>
    And the callers take their streams up after the daemons have started again
    Then no stream ran at two versions, and those of <whole> are whole

    Examples:
      | before      | killed  | change                               | serving | whole |
      | v1,v1,v2,v2 | all     | nothing changes                      | both    | both  |
      | v1,v1,v2,v2 | all     | the store's history is compacted     | both    | both  |
      | v1,v1,v2,v2 | 2       | nothing changes                      | both    | both  |
      | v1,v1,v2,v2 | each of | nothing changes                      | both    | both  |
      | v1,v1,v2,v2 | all     | the servers of v1 leave              | v2      | v2    |
      | v1,v1,v2,v2 | 2       | the servers of v1 leave              | v2      | v2    |
      | v1,v1       | all     | nothing changes                      | v1      | v1    |
      | v1,v1       | all     | the servers of v1 leave and v2 comes | v2      | none  |
      | v1,v1       | all     | v2 comes                             | both    | none  |
      | v1,v1,v2,v2 | all     | the store comes back from a copy     | both    | none  |

  # The store's copy has no trace of the version that began the streams.
  Scenario: Versions that a restored store has forgotten are not taken for none
    Given 3 entry daemons and servers of the versions v1,v1
    When a server of version v2 starts, which the store forgets when all daemons die
    Then a stream of unknown origin is refused

  Scenario: A stream of a version that has left is not confused for as long as it may live
    Then for 200 drawn releases no stored version is dropped before its time

  # A daemon sent its records only when it saw a second version, which it slept through.
  Scenario Outline: Streams of one of <n> daemons that is silent when a version comes
    Given <n> entry daemons and servers of the versions v1,v1
    When 12 callers lose their streams at a daemon that falls silent before v2 comes
    Then the streams are whole and ran at version v1 only

    Examples:
      | n |
      | 3 |
      | 9 |

  # Neither their records nor their heirs are there.
  Scenario Outline: Streams of <which> of 3 daemons that fall silent at once
    Given 3 entry daemons and servers of the versions v1,v1
    When 12 callers lose their streams at <which> that fall silent at once before v2 comes
    Then the streams are whole and ran at version v1 only

    Examples:
      | which         |
      | one           |
      | all but one   |

  # A daemon that the others do not hear may go on and begin streams at the new version.
  Scenario: Streams that a daemon cut off from the others began at a new version
    Given 3 entry daemons and servers of the versions v1,v1
    When a daemon falls silent, v2 comes and it begins 12 streams that callers lose
    Then no stream of 12 ran at two versions

  Scenario: A daemon without access to the store begins streams at the version before
    Given 2 entry daemons and servers of the versions v1,v1
    When a daemon learns of v2 while the store takes no writes
    Then 12 streams that it begins run at version v1
    And they run at both versions after the store takes writes again
