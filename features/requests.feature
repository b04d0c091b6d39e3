@fleet
Feature: An accepted request is answered exactly once and completely
  Three daemons in front of two engines and two intake replicas, each a process.

  Scenario: Concurrent callers each get their own answer
    When 40 summaries of 30 tokens are asked for at once over all daemons
    Then each caller has the whole answer to its own prompt

  Scenario: Chats and answers that are not streamed
    When a chat of 20 tokens is asked for without streaming
    Then the answer has 20 tokens and says that it ended by length

  Scenario: An engine cuts answers midway
    Given both engines cut the next 4 answers after 7 tokens
    When 6 summaries of 30 tokens are asked for at once over all daemons
    Then each caller has the whole answer to its own prompt

  Scenario Outline: An engine closes streams <framing> in the middle of an event
    Given both engines close the next 4 answers <framing> in the middle of event 8
    When 6 summaries of 30 tokens are asked for at once over all daemons
    Then each caller has the whole answer to its own prompt

    Examples:
      | framing          |
      | in chunks        |
      | without a length |

  Scenario Outline: A stream of a service that is closed <framing> in the middle of an event
    Given the intake service closes <n> streams <framing> in the middle of event 3
    When a caller asks the service for its events
    Then the service call <result>

    Examples:
      | framing          | n    | result                    |
      | without a length | 0    | returns all events        |
      | without a length | 1    | returns all events        |
      | in chunks        | 1000 | fails with backend_failed |
      | without a length | 1000 | fails with backend_failed |

  @fresh_fleet
  Scenario Outline: Engines and services whose <part> has no end
    Given both engines and the services send the next <n> answers with an endless <part>
    When 6 summaries of 30 tokens are asked for at once over all daemons
    And a caller asks the service for its events
    Then each caller has the whole answer to its own prompt
    And the service call fails with backend_failed
    And every daemon took at most 24 MB more than before

    Examples:
      | part | n |
      | head | 4 |
      | body | 4 |

  # Trailer fields without end held up the thread of a call for as long as they came.
  @fresh_fleet
  Scenario: Engines and services whose trailer fields have no end
    Given both engines and the services end the next answers with endless trailer fields
    When 6 summaries of 30 tokens are asked for at once over all daemons
    And a caller asks the service for its events
    Then each caller has the whole answer to its own prompt
    And the service call returns all events
    And every daemon took at most 24 MB more than before

  Scenario: Every attempt is cut
    Given both engines cut the next 1000 answers after 3 tokens
    When one summary of 200 tokens is asked for
    Then the caller gets the error answer_cut and no complete answer

  @fresh_fleet
  Scenario Outline: A broken stream is not completed by an engine that <answers>
    Given one engine cuts its answers after 3 tokens and the other <answers>
    When one summary of 200 tokens is asked for
    Then the caller gets the error answer_cut and no complete answer

    Examples:
      | answers               |
      | refuses               |
      | stops inside its head |

  Scenario Outline: A caller that reconnects gets exactly the bytes that it missed
    When a caller disconnects from a summary of 40 tokens after event 11
    And it is resumed with Last-Event-ID at <place> daemon
    Then the resumed response has exactly the bytes after event 11

    Examples:
      | place       |
      | the same    |
      | another     |

  Scenario: A customer cannot see another customer's request
    When weighbridge asks for a summary of 10 tokens
    Then licence-desk gets not_found for its status, events and answer
    And weighbridge can read all three

  Scenario: Requests with the same Idempotency-Key are one request
    When the same summary of 30 tokens is asked for 3 times at one daemon with one key
    Then the 3 answers are equal and have one request id
    And another body with that key is refused as key_reused

  Scenario: A request does not wait for full engines beyond its deadline
    Given both engines refuse the next 1000 requests
    When one summary of 5 tokens is asked for with 2 s to wait
    Then the caller is refused as not run with no_backend

  Scenario Outline: Invalid requests are refused with the reason
    When <body> is posted to <path> with token <token>
    Then the answer is <status> <kind> and did not run

    Examples:
      | path                   | token             | body                                      | status | kind            |
      | /v1/completions        | weighbridge-token | {"prompt": "x"}                           | 400    | bad_request     |
      | /v1/completions        | weighbridge-token | {"model": "summary-7b", "prompt": 7}      | 400    | bad_request     |
      | /v1/completions        | weighbridge-token | [[[[                                      | 400    | bad_request     |
      | /v1/completions        | weighbridge-token | {"model": "none", "prompt": "x"}          | 503    | no_backend      |
      | /v1/completions        | weighbridge-token | {"model":"summary-7b","prompt":"x","n":2} | 400    | bad_request     |
      | /v1/completions        | nobody            | {"model": "summary-7b", "prompt": "x"}    | 401    | unauthenticated |
      | /v1/completions        | operator-token    | {"model": "summary-7b", "prompt": "x"}    | 403    | forbidden       |
      | /v1/chat/completions   | weighbridge-token | {"model": "summary-7b", "messages": []}   | 400    | bad_request     |
      | /v1/services/none/x    | weighbridge-token | {}                                        | 404    | not_found       |
      | /v1/nowhere            | weighbridge-token | {}                                        | 404    | not_found       |
      | /v1/addresses          | weighbridge-token | {}                                        | 405    | method_not_allowed |

  Scenario: Daemons keep working after any input over HTTP
    When 250 generated byte sequences are sent as requests to one daemon
    Then each gets an error response, an answer or a closed connection
    And that daemon still serves a whole summary and has no open stream

  @tls_fleet
  Scenario: Streams, redirects and a reclaim work over TLS
    When 12 summaries of 30 tokens are asked for over TLS by clients of all daemons
    Then each caller has the whole answer to its own prompt
    And a request is found from every daemon over TLS
    And a plain HTTP request to that port is not answered with addresses
    When 6 summaries of 500 tokens are asked for over TLS while a daemon is reclaimed
    Then each caller has the whole answer to its own prompt

  @two_deployments
  Scenario: Customers of the same name in two deployments are isolated
    When weighbridge asks for a summary of 10 tokens and defers the same request
    Then weighbridge of another deployment gets not_found for both
    And with the first one's key it does not get the first one's answer
    And its operator cannot read the first deployment's configuration or audit

  Scenario: A slow caller uses bounded memory and misses no event
    Given an answer of 20000 tokens and a caller that reads nothing
    When the whole answer is offered to it
    Then at most 65536 bytes and one event are buffered for it
    And once it reads, it gets every event in order, up to the last chunk
