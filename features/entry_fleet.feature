Feature: Entry daemons keep shared bounds together

  Scenario: A daemon that the store refuses learns of a change from its neighbours
    Given 3 entry daemons with duties
    When the store refuses the first daemon and a configuration without keys is written
    Then within 3 s the first daemon answers a "read" request with 401

  Scenario: The directory names daemons that serve and none that leaves
    Given 3 entry daemons with duties
    Then the directory of each daemon names 3 addresses
    When the first daemon is told to stop
    Then within 2 s the directory of the second daemon names 2 addresses

  Scenario: Usage of killed daemons is reported once
    Given 3 entry daemons with duties
    When each daemon gets 30 "read" requests and the holder of the duties is killed
    Then within 25 s the reports sum to 90 requests and no rule of holders is broken

  Scenario: A lease that lapsed is taken over with a higher number
    Given 3 entry daemons with duties
    When the holder of the duties is killed three times
    Then no rule of holders is broken

  Scenario: A quota holds over all daemons
    Given 3 entry daemons with duties
    When 4.0 s pass
    And a customer with 40 requests a second and a burst of 40 asks for 300 a second for 4 s
    Then between 190 and 220 of its requests ran

  Scenario: A server that went during an outage goes everywhere after it
    Given 5 entry daemons with duties
    When the store is down for 4.0 s and the first server's entry is gone on its return
    Then within 5 s no daemon sends to the first server

  Scenario: A server that goes while one daemon is refused goes at once
    Given 5 entry daemons with duties
    When the store refuses the watching daemons for 4 s and then the first server's entry goes
    Then within 1.5 s no daemon sends to the first server

  Scenario: Duties stay with their holder while the cloud API is away
    Given 3 entry daemons with duties
    When the cloud API is down for 10 s
    Then the same daemon holds the duties as before

  Scenario: Thirty daemons hear all of each other and three of them watch the store
    Given 30 entry daemons with duties
    When 5.0 s pass
    Then the store was asked for at most 60 watches
    When 4.0 s pass
    Then during 2 s every daemon hears 29 others and 3 daemons watch the store
