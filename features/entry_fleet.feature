Feature: Entry daemons share state, duties and quotas

  Scenario: A daemon that the store refuses learns of a change from its peers
    Given 3 entry daemons with duties
    When the store refuses the first daemon and a configuration without keys is written
    Then within 3 s the first daemon answers a "read" request with 401

  Scenario: The directory lists the serving daemons without a leaving one
    Given 3 entry daemons with duties
    Then the directory of each daemon lists 3 addresses
    When the first daemon is told to stop
    Then within 2 s the directory of the second daemon lists 2 addresses

  Scenario: Usage of killed daemons is reported once
    Given 3 entry daemons with duties
    When each daemon gets 30 "read" requests and the duty holder is killed
    Then within 25 s the reports sum to 90 requests and no duty holder breaks a rule

  Scenario: An expired lease is acquired with a higher fencing number
    Given 3 entry daemons with duties
    When the duty holder is killed three times
    Then no duty holder breaks a rule

  Scenario: A quota is kept over all daemons
    Given 3 entry daemons with duties
    When 4.0 s pass
    And a customer with 40 requests a second and a burst of 40 asks for 300 a second for 4 s
    Then between 190 and 220 of its requests ran

  Scenario: All daemons drop a server that was removed during an outage
    Given 5 entry daemons with duties
    When the store is down for 4.0 s and returns without the first server's entry
    Then within 5 s no daemon knows the first server

  Scenario: A server that is removed after the store refused some daemons is dropped at once
    Given 5 entry daemons with duties
    When the store refuses the watching daemons for 4 s and then the first server's entry is removed
    Then within 1.5 s no daemon knows the first server

  Scenario: Duties stay with their holder while the cloud API is down
    Given 3 entry daemons with duties
    When the cloud API is down for 10 s
    Then the same daemon holds the duties as before

  Scenario: Thirty daemons all know each other as alive and three of them watch the store
    Given 30 entry daemons with duties
    When 5.0 s pass
    Then the store received at most 60 watch calls
    When 4.0 s pass
    Then during 2 s every daemon knows 29 others as alive and 3 daemons watch the store
