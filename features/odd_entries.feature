Feature: An odd entry of another writer stops neither a daemon nor the list

  Scenario Outline: Entry daemons follow the store past an object of kind "<kind>" with <oddity>
    Given 2 entry daemons and 1 servers
    When another writer stores an object of the kind "<kind>" with <oddity>
    Then a server and a configuration that are stored later are in force within 2 s
    And a daemon that starts later knows them, too
    And a daemon that missed them gets them from another one

    Examples:
      | kind              | oddity                  |
      | servers           | very deep nesting       |
      | servers           | a number out of range   |
      | servers           | a very large integer    |
      | servers           | a port out of range     |
      | servers           | a host name             |
      | servers           | a list                  |
      | servers           | bytes that are no text  |
      | config            | very deep nesting       |
      | config            | a number out of range   |
      | config            | a very large integer    |
      | berylpost-members | very deep nesting       |
      | berylpost-members | a port out of range     |
      | berylpost-members | a host name             |
      | berylpost-members | a very large integer    |
      | berylpost-holds   | very deep nesting       |
      | berylpost-holds   | a number out of range   |
      | berylpost-leases  | very deep nesting       |
      | berylpost-leases  | a very large integer    |
      | servers           | half of a surrogate pair |
      | servers           | half of a surrogate pair in a key |
      | servers           | a control character     |
      | servers           | an unknown escape       |
      | servers           | a doubled key           |
      | servers           | a key that is a number  |
      | servers           | a key without quotes    |
      | servers           | a bracket in a string   |
      | config            | half of a surrogate pair |
      | config            | a key that is a number  |
      | berylpost-members | half of a surrogate pair |
      | berylpost-holds   | half of a surrogate pair in a key |
      | berylpost-leases  | half of a surrogate pair |
      | berylpost-streams | half of a surrogate pair |
      | berylpost-streams | very deep nesting       |
      | berylpost-eras    | half of a surrogate pair |
      | berylpost-eras    | a very large integer    |

  Scenario: A sound entry that follows an odd one counts
    Given 2 entry daemons and 2 servers
    When another writer overwrites the entry of a server with very deep nesting
    Then the daemons do not use that server
    When the server writes its entry again
    Then the daemons use that server again

  Scenario: A server that comes, is overwritten and removed within one answer is gone
    Then after one answer with all three changes no daemon knows the server

  Scenario Outline: Daemons of the own interface read the list of VMs past an entry with <oddity>
    Given a cloud that lists a sound VM beside an entry with <oddity>
    Then the sound VM is listed, and the other one is logged once

    Examples:
      | oddity                  |
      | very deep nesting       |
      | a number out of range   |
      | a very large integer    |
      | a port out of range     |
      | a host name             |
      | a list                  |
      | bytes that are no text  |
      | half of a surrogate pair |
      | a control character     |
      | a key without quotes    |
      | a bracket in a string   |

  Scenario Outline: Daemons of the own interface follow stored objects past one with <oddity>
    Given 1 entry daemons and 1 servers
    And an object of the own interface beside one with <oddity>
    Then a watch brings the sound one, and one that is stored later

    Examples:
      | oddity                  |
      | very deep nesting       |
      | a number out of range   |
      | a very large integer    |
      | a list                  |
      | bytes that are no text  |
      | half of a surrogate pair |
      | half of a surrogate pair in a key |
      | a control character     |
      | a key without quotes    |
      | a bracket in a string   |

  # One such entry hid the whole list from daemons that started.
  Scenario Outline: Duties are carried out past a lease with <oddity>
    Given 2 entry daemons with duties
    When another writer overwrites the lease with <oddity>
    Then reports are made again within 12 s

    Examples:
      | oddity                   |
      | half of a surrogate pair |
      | a list                   |
      | reports of another form  |

  # Daemons kept all that other writers stored, and passed `MemoryMb` within seconds.
  Scenario Outline: Large entries of another writer that <what> stay within a daemon's memory
    Given 2 entry daemons and 1 servers
    When another writer stores 40 entries of 1 MB that <what>
    Then a server and a configuration that are stored later are in force within 4 s
    And a daemon that starts later knows them within its memory
    And no daemon keeps or passes on more of the entries than a quarter of its memory
    And every daemon that watched the store counts the entries that it <verb>

    Examples:
      | what                         | verb    |
      | name no server               | refuses |
      | name servers with long texts | gives up |

  Scenario: Entries of servers beyond the memory give way to those that are named
    Given 2 entry daemons and 1 servers
    When another writer stores 14000 entries of a service without a route
    Then the daemons use the first server
    And no daemon keeps or passes on more of the entries than a quarter of its memory

  Scenario: No drawn text in an entry hides the entries beside it
    Then for 500 drawn lists with odd entries the sound entries are read
