Feature: Documents, settings, commands and traces agree with the code

  Scenario Outline: The reference pages match the code
    Then docs/<page> equals what berylpost.reference renders

    Examples:
      | page        |
      | settings.md |
      | errors.md   |
      | metrics.md  |

  Scenario: The library's example runs
    Then the example of docs/library.md runs without the daemon being imported

  Scenario: The minimal documents in docs/operating.md are valid
    Then the settings and the configuration shown there are valid

  Scenario: The daemon does not import the command line or test libraries
    Then importing berylpost.daemon imports none of cleo, behave, hypothesis, hdrh

  Scenario Outline: Invalid settings are refused with a message
    Given the minimal settings with <key> set to <value>
    Then they are refused and the message contains <words>

    Examples:
      | key                     | value           | words                      |
      | daemon.id               | "Bad Name"      | $.daemon.id                |
      | daemon.typo             | 1               | typo                       |
      | listen.http             | "host:80"       | $.listen.http              |
      | listen.http             | "127.0.0.1:0"   | $.listen.http              |
      | listen.threads          | "many"          | $.listen.threads           |
      | relay.retry_ratio       | 2               | $.relay.retry_ratio        |
      | relay.max_streams       | 0               | $.relay.max_streams        |
      | peers.seeds             | ["a.b.c:1"]     | $.peers.seeds              |
      | peers.public_key        | "short"         | $.peers.public_key         |
      | peers.probe_timeout_s   | 5               | $.peers.probe_timeout_s    |
      | ledger.retention_s      | 10              | $.ledger.retention_s       |
      | platform.objects        | "ftp://x"       | $.platform.objects         |
      | plugins                 | ["none-such"]   | none-such                  |
      | log_level               | "loud"          | $.log_level                |

  Scenario Outline: Commands with invalid input end with a message and a status
    When berylpost is run with <arguments>
    Then it ends with status <status> and its output contains <words>

    Examples:
      | arguments                                    | status | words                  |
      | check nowhere.yaml                           | 1      | nowhere.yaml           |
      | serve -c nowhere.yaml                        | 2      | nowhere.yaml           |
      | replay nowhere.jsonl                         | 1      | nowhere.jsonl          |
      | config patch d nowhere.yaml -N 1             | 1      | nowhere.yaml           |
      | config patch d /dev/null -N x                | 1      | --number               |
      | status -a nonsense                           | 1      | IP-NUMBER:PORT         |
      | status -a 127.0.0.1:9                        | 1      | no_answer              |
      | bench nothing                                | 1      | accepted               |
      | fakes nowhere.yaml                           | 1      | nowhere.yaml           |
      | unknowncommand                               | 1      | unknowncommand         |

  Scenario Outline: A patch is applied or refused
    When <patch> is applied as <media> to a deployment with customers a and b
    Then the outcome is <outcome>

    Examples:
      | media                       | patch                                                         | outcome                               |
      | application/merge-patch+json| {"zones": ["dalby"]}                                          | accepted                              |
      | application/merge-patch+json| {"customers": null}                                           | accepted                              |
      | application/merge-patch+json| {"customers": [{"name": "a"}]}                                | invalid_configuration $.customers[0]  |
      | application/merge-patch+json| {"operators": null}                                           | invalid_configuration $.operators     |
      | application/merge-patch+json| {"colour": "blue"}                                            | invalid_configuration colour          |
      | application/json-patch+json | [{"op": "remove", "path": "/customers/1"}]                    | accepted                              |
      | application/json-patch+json | [{"op": "remove", "path": "/customers/7"}]                    | bad_request patch                     |
      | application/json-patch+json | [{"op": "copy", "from": "/customers/0", "path": "/customers/-"}] | invalid_configuration Duplicate name |
      | application/json-patch+json | {"op": "x"}                                                   | bad_request patch                     |
      | text/plain                  | {}                                                            | bad_request Content-Type              |

  Scenario: Replayed decisions have the recorded outcomes
    Then replaying the traces in features/traces gives no difference
    And a changed outcome in a trace is reported with its line and path

  Scenario: A daemon's recording can be replayed and contains no prompt and no token
    When a daemon with recording serves 20 summaries and an engine is reclaimed
    Then its recording contains admissions, routings and reclaims and replays without a difference
    And it contains neither a prompt nor a token's hash
