@fleet
Feature: An accepted request is answered once and whole
  Three daemons before two engines and two intake replicas, as separate processes.

  Scenario: Many callers at once each get their own answer
    When 40 summaries of 30 tokens are asked for at once over all daemons
    Then each caller has the whole answer to its own prompt

  Scenario: Chats and answers that are not streamed
    When a chat of 20 tokens is asked for without streaming
    Then the answer has 20 tokens and says that it ended by length

  Scenario: An engine cuts answers midway
    Given both engines cut the next 4 answers after 7 tokens
    When 6 summaries of 30 tokens are asked for at once over all daemons
    Then each caller has the whole answer to its own prompt

  Scenario: Every attempt is cut
    Given both engines cut the next 1000 answers after 3 tokens
    When one summary of 200 tokens is asked for
    Then the caller is told answer_cut and never sees the answer end well

  Scenario Outline: A caller that comes back gets the exact bytes it missed
    When a summary of 40 tokens is broken off by its caller after event 11
    And it is resumed with Last-Event-ID at <place> daemon
    Then the resumed bytes are those after event 11, to the last

    Examples:
      | place       |
      | the same    |
      | another     |

  Scenario: One customer never sees another one's request
    When weighbridge asks for a summary of 10 tokens
    Then licence-desk is told not_found for its status, events and answer
    And weighbridge can read all three

  Scenario: A repeated Idempotency-Key is one request
    When the same summary of 30 tokens is asked for 3 times at one daemon with one key
    Then the 3 answers are equal and have one request id
    And another body with that key is refused as key_reused

  Scenario: An engine that is full is not waited for past the deadline
    Given both engines refuse the next 1000 requests
    When one summary of 5 tokens is asked for with 2 s to wait
    Then the caller is refused as not run with no_backend

  Scenario Outline: Bad input is refused with its reason
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

  Scenario: Whatever comes over HTTP, daemons go on
    When 250 generated requests are sent raw to one daemon
    Then each got a problem answer, an answer or a closed connection
    And that daemon still serves a whole summary and holds no open stream

  @tls_fleet
  Scenario: Over TLS, streams, sent-on callers and a reclaim keep their promises
    When 12 summaries of 30 tokens are asked for over TLS by clients of all daemons
    Then each caller has the whole answer to its own prompt
    And a request is found from every daemon over TLS
    And a plain HTTP request to that port gets no answer of ours
    When 6 summaries of 500 tokens are asked for over TLS while a daemon is reclaimed
    Then each caller has the whole answer to its own prompt

  @two_deployments
  Scenario: Customers of one name in two deployments are strangers
    When weighbridge asks for a summary of 10 tokens and defers one of the same
    Then weighbridge of another deployment is told not_found for both
    And with the first one's key it does not get the first one's answer
    And its operator cannot read the first deployment's configuration or audit

  Scenario: A slow caller is bounded in memory and misses nothing
    Given an answer of 20000 tokens and a caller that reads nothing
    When everything is offered to it
    Then no more than 65536 bytes and one event wait for it
    And once it reads it gets every event in order, to the last chunk
