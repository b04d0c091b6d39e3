Feature: Callers are served again after an outage in which servers' entries expired

  Scenario Outline: <late> does not remove servers that registered again
    Given a daemon whose 5 servers registered again after their entries expired
    When <late> arrives 3 s after the store returned
    Then the daemon and one that asks it for its state know all 5 servers

    Examples:
      | late                                         |
      | an answer of a watch with the removals       |
      | a list made before the registrations         |
      | a neighbour's state made before them         |

  Scenario Outline: A removal after the outage is learnt from <source>
    Given a daemon whose 5 servers registered again after their entries expired
    When <source> shows that the first server is gone, 3 s after the store returned
    Then the daemon and one that asks it for its state know the last 4 servers

    Examples:
      | source    |
      | a watch   |
      | a list    |

  Scenario: A daemon that missed the last write of an entry learns of its removal
    # Guards against a neighbour that keeps an ended server whose last entry it knows.
    Given a daemon that knows a server at revision 5 and a neighbour at revision 8
    When a watch shows the daemon that the server is gone since revision 8
    Then neither it nor the neighbour that asks it for changes knows the server

  Scenario: A removal that is held back after an outage is held back no longer by neighbours
    # Guards against requests to a server that left just after the store returned.
    Given two daemons that knew a server when the store returned 0.5 s ago
    When a watch shows one of them that it is gone, and the other one asks it for its state
    Then neither knows the server 2.2 s after the store returned

  Scenario Outline: A fleet keeps its size over an outage of <outage_s> s at <n> servers
    Given a fleet of <n> servers at a load that needs them
    When requests are refused for <outage_s> s because the store is away
    Then no server is given back within 12 s of its return

    Examples:
      | n  | outage_s |
      | 9  | 6        |
      | 84 | 6        |
      | 84 | 20       |

  Scenario: A fleet whose load stays low after an outage shrinks
    Given a fleet of 84 servers at a load that needs them
    When requests are refused for 6 s because the store is away and few come afterwards
    Then servers are given back within 24 s of its return

  Scenario: On-demand servers are kept over an outage
    # Guards against giving back servers because refused requests were not measured.
    Given a duty holder with 2 reclaimable and 20 on-demand servers at a load of 13
    When the measured load falls to 3 while the store is away
    Then 20 on-demand servers are ordered
    When the store has answered for 10 s and the measured load is 11
    Then 20 on-demand servers are ordered
    When the store has answered for 20 s and the measured load is 3
    Then 3 on-demand servers are ordered

  Scenario Outline: <n> daemons serve again after an outage with expired entries
    Given <n> entry daemons and 4 servers whose entries expire in an outage
    When the store is down for 4.5 s and one daemon gets the removals 2.5 s after its return
    Then every daemon answers requests from 4 s after the return on

    Examples:
      | n  |
      | 4  |
      | 30 |
