Feature: Callers that hold memory lose it to ordinary ones

  The decision is replayed without a network: 8 MB of room, callers that hold legal
  requests of 1 MB or 4 MB without finishing them, and ordinary requests of 8 KB.

  Scenario Outline: Ordinary requests get room while callers <hold>
    Given 8 MB of room and 60 callers that <hold>
    When 400 ordinary requests ask for room by the rule "<rule>"
    Then at least <least> and at most <most> of them get it

    Examples:
      | hold                      | rule           | least | most |
      | stop before the last byte | policy         | 400   | 400  |
      | stop before the last byte | reject the new | 0     | 40   |
      | send a byte at a time     | policy         | 400   | 400  |
      | send a byte at a time     | reject the new | 0     | 40   |

  Scenario Outline: Large uploads still end under overload by the rule "<rule>"
    Given 8 MB of room
    When a caller with an upload of 4 MB that takes 4 s arrives each second for 60 s, by the rule "<rule>"
    Then at least <least> and at most <most> of the uploads end

    Examples:
      | rule             | least | most |
      | policy           | 20    | 60   |
      | evict the oldest | 0     | 10   |

  Scenario: What makes no progress is given up first, by bytes and age
    Given a stalled request, an unread answer, a slow large one and an ordinary one
    When an ordinary request asks for 1 byte, then for as much as all others hold
    Then the stalled request loses first, and then all but the ordinary one
    And a request that would need more is rejected and nobody loses

  Scenario: An idle connection on which no request was answered makes way first
    Given idle connections, of which some have served
    Then the one that has not served and was idle for longest makes way

  Scenario: Callers' connections leave descriptors for servers and the store
    Then with 1638, 4096 and 10250 descriptors at least half stay for the daemon
