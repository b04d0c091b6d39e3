Feature: An entry daemon leaves no request without an answer

  Scenario: A request that arrives just before the process ends is answered
    Given an entry daemon process
    When it is stopped
    And the processor is taken away while it is about to end
    And 20 callers connect and send "read" requests meanwhile
    Then each caller gets a complete answer

  Scenario: A request on an open connection that arrives just before the process ends is answered
    Given an entry daemon process
    When it is stopped
    And 20 callers connect after 4 s
    And the processor is taken away while it is about to end
    And they send "book" requests meanwhile
    Then each caller gets a complete answer

  Scenario: An answer that its caller reads slowly is sent before the process ends
    Given an entry daemon process
    And every server answers with 3900000 bytes
    When 4 callers send "read" requests and read nothing
    And it is stopped
    And they read 5 s later
    Then each caller gets a complete answer

  Scenario: A caller whose first bytes come late is answered before the process ends
    Given an entry daemon process
    When it is stopped
    And 4 callers connect after 4.3 s and send "read" requests 0.6 s later
    Then each caller gets a complete answer

  Scenario: A handler whose caller has left ends before the process does
    Given a server whose handlers take 0.1 s to end after their caller has left
    When a caller sends a request and leaves
    Then no request is open once the server has nothing unfinished

  Scenario: A request whose last bytes come late is answered before the process ends
    Given an entry daemon process
    When it is stopped
    And 4 callers send all but the last byte of "book" requests after 4.3 s, and that byte 0.4 s later
    Then each caller gets a complete answer

  Scenario: An unread answer is not dropped for a new connection
    Given an entry daemon process with 128 descriptors
    And every server answers with 3900000 bytes
    When 4 callers send "read" requests and read nothing
    And 40 other callers send "read" requests and keep their connections
    And they read 0 s later
    Then each caller gets a complete answer

  Scenario: Requests behind another on one connection are answered in a planned stop
    Given an entry daemon process
    And every server takes 0.4 s for a request
    When 4 callers send 3 "book" requests at once
    And it is stopped
    Then each caller gets 3 complete answers

  Scenario: Requests before a malformed one on their connection are answered
    Given an entry daemon process
    And every server takes 0.2 s for a request
    When 4 callers send 3 "book" requests at once, and then no request
    Then each caller gets 3 complete answers

  Scenario: Requests behind others that are refused at once are answered
    Given an entry daemon process
    When 4 callers send 3 "nowhere" requests at once
    Then each caller gets 3 complete answers
