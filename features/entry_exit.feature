Feature: An entry daemon leaves no request without an answer

  Scenario: An unread answer is not dropped for a new connection
    Given an entry daemon process with 128 descriptors
    And every server answers with 3900000 bytes
    When 4 callers send "read" requests and read nothing
    And 40 other callers send "read" requests and keep their connections
    And they read 0 s later
    Then each caller gets a complete answer
