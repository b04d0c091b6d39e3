Feature: A server that says in an answer that it leaves gets no further requests

  Scenario Outline: An answer with <status> to a "<kind>" request says that its server leaves
    Given 3 entry daemons and 3 servers with a start time
    When the first server says that it leaves in an answer with "<fault>" to "<kind>"
    Then it gets no request of that daemon later
    And it gets no request of any daemon 0.5 s later

    Examples:
      | kind        | fault  | status |
      | read        | none   | 200    |
      | read        | fail   | 500    |
      | read        | refuse | 503    |
      | book        | none   | 200    |
      | stream      | none   | 200    |
      | stream/once | none   | 200    |

  Scenario Outline: <daemon> learns which server leaves
    Given 3 entry daemons and 3 servers with a start time
    And the first server said in an answer that it leaves
    When <daemon> meets it
    Then it gets no request of any daemon <seconds> s later

    Examples:
      | daemon                            | seconds |
      | a daemon that has just started    | 1       |
      | a daemon cut from the store       | 0       |

  Scenario: A daemon that starts knows which server leaves as soon as it knows another daemon
    Given 3 entry daemons and 3 servers with a start time
    And the first server said in an answer that it leaves
    When another daemon starts and knows a daemon
    Then it takes the first server for leaving within 0.1 s

  Scenario: A daemon that hears from no other learns it from the first answer
    Given 3 entry daemons and 3 servers with a start time
    And the last daemon hears from no other
    And the first server said in an answer that it leaves
    Then the last daemon sends it at most 1 request

  Scenario: A daemon that received nothing learns it when it receives again
    Given 3 entry daemons and 3 servers with a start time
    And the last daemon hears from no other
    And the first server said in an answer that it leaves
    When the last daemon receives again
    Then it gets no request of any daemon 2.5 s later

  Scenario Outline: A server that leaves gets no request although <entry>
    Given 3 entry daemons and 3 servers with a start time
    And the first server said in an answer that it leaves
    When <entry>
    Then it gets no request of any daemon 0.5 s later

    Examples:
      | entry                                                |
      | its entry says ready                                 |
      | its entry is gone and comes back                     |
      | the store comes back from a copy of before           |
      | it is listed as ready 6 s later                      |

  Scenario: A server that starts again under its id is used
    Given 3 entry daemons and 3 servers with a start time
    And the first server said in an answer that it leaves
    When the first server starts again under its id
    Then the first server gets requests within 1 s

  Scenario: A request that waits for a connection goes to another server
    Given 3 entry daemons and 3 servers with a start time
    When the first server becomes known to leave while a request waits for it
    Then that request is answered and the first server got none

  Scenario: A stream that runs on a server that leaves is answered whole
    Given 3 entry daemons and 3 servers with a start time
    When a stream runs on the first server while another answer says that it leaves
    Then the stream is answered whole

  Scenario Outline: A malformed "<value>" does not hold a server back
    Given 3 entry daemons and 3 servers with a start time
    When the first server's answers say "<value>"
    Then the first server gets requests within 1 s

    Examples:
      | value |
      | 0     |
      | yes   |
      | 1, 1  |
      | -1    |
      | 1.0   |

  Scenario: A leaving server at the address of another says nothing about that one
    Given 3 entry daemons and 3 servers with a start time
    When another server answers 421 at the first one's address and says that it leaves
    Then no daemon takes the first server for leaving

  Scenario: A request is refused at once when every server says that it leaves
    Given 1 entry daemons and 1 servers with a start time
    And the first server said in an answer that it leaves
    Then a request is refused as not run within 0.2 s
