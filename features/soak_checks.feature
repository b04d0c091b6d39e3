Feature: The soak lays the daemons' own account beside what callers saw

  Scenario Outline: A planned stop that loses a request is found
    Given a planned stop whose daemon logged "<lines>"
    When its account is checked, undisturbed
    Then the soak reports "<fault>"

    Examples:
      | lines                                                                                        | fault                                   |
      | event=daemon_stopped requests_open=0 requests_unsent=0;event=process_ends                    |                                         |
      | event=daemon_stopped requests_open=2 requests_unsent=0;event=process_ends                    | requests_open=2                         |
      | event=daemon_stopped requests_open=0 requests_unsent=1 requests_unserved=3;event=process_ends | requests_unsent=1 requests_unserved=3   |
      | event=daemon_stopped requests_open=0 requests_unfinished=1;event=process_ends                | requests_unfinished=1                   |
      | event=daemon_stopped requests_open=0                                                         | no line process_ends, status 0          |
      | event=process_ends                                                                           | no line daemon_stopped, status 0        |
      | event=daemon_leaving;event=request_lost id=a7;event=daemon_stopped requests_open=0;event=process_ends | lost while it left: a7          |

  Scenario: A disturbance excuses lost requests, but none that is open
    Given a planned stop whose daemon logged "event=daemon_stopped requests_open=1 requests_unsent=1;event=process_ends"
    When its account is checked, disturbed
    Then the soak reports "requests_open=1"

  Scenario: A client of the soak's proxy sees that the server's address refuses
    Given a proxy of the soak before an address that refuses
    When a client connects through it
    Then its connection is refused

  Scenario Outline: Callers that are refused everywhere are reported while a daemon serves
    Given daemons "a, b", of which "<stopped>" are in planned stops
    When a caller is refused by "a"
    Then the soak reports "<fault>"

    Examples:
      | stopped | fault                                     |
      | a       | refused by ('a',), but ['b'] served       |
      | a, b    |                                           |

  Scenario Outline: A daemon that the soak is about to stop is not stopped a second time
    Given a schedule of the soak with 3 daemons
    When the soak begins to "<action>"
    Then each daemon that it stops is not up for other actions

    Examples:
      | action       |
      | stop_in_turn |
      | stop_twice   |
