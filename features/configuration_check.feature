Feature: A configuration is checked before it is sent
  `berylpost config check FILE` asks no daemon. It exits with 1 if there is a fault, and
  with `--in-force FILE` prints what differs.

  Scenario Outline: A sound <form> document has no fault
    Given a sound <form> document
    When it is checked
    Then the command exits with 0 and prints "no fault"

    Examples:
      | form       |
      | platform   |
      | deployment |

  # Guards against entries that the daemons accept but that never match, and limits that
  # refuse every request.
  Scenario Outline: A <form> document in which <path> is <value>
    Given a sound <form> document
    When <path> is set to <value> and it is checked
    Then the command exits with 1 and prints "<fault>"

    Examples:
      | form       | path                     | value                             | fault                                                       |
      | platform   | Routes/1/PathPrefix      | "/read/"                          | $.Routes[1]: never matches, $.Routes[0] has its host        |
      | platform   | Routes/0/TimeoutMs       | 200                               | $.Routes[0].TimeoutMs: below TargetLatencyMs, 300           |
      | platform   | Routes/0/MaxAttempts     | 0                                 | $.Routes[0].MaxAttempts: below 1                            |
      | platform   | Routes/0/Service         | "none"                            | $.Routes[0]: service 'none' is not in $.Services            |
      | platform   | Routes/0/TrafficSplit    | [{"Service":"app","Weight":0}]    | $.Routes[0].TrafficSplit[0].Weight: not above 0             |
      | platform   | Routes/0/Kind            | "fast"                            | route read: unknown kind 'fast'                             |
      | platform   | Routes/0/TimeoutMs       | "long"                            | at `$.Routes[0].TimeoutMs`                                  |
      | platform   | Services                 | [{"Name":"app"},{"Name":"spare"}] | $.Services[1]: no route uses service 'spare'                |
      | platform   | Services/0/Scaling       | {"Min":3,"Max":2}                 | $.Services[0].Scaling: Min 3 above Max 2                    |
      | platform   | Tenants/0/ApiKeys        | []                                | $.Tenants[0].ApiKeys: customer 'one' has no key             |
      | platform   | Tenants                  | [{"Name":"a","ApiKeys":["k"]},{"Name":"b","ApiKeys":["k"]}] | $.Tenants[1].ApiKeys[0]: $.Tenants[0].ApiKeys[0] has the same key |
      | platform   | Tenants/0/RatePerS       | 5                                 | $.Tenants[0].Burst: below one request, 1                    |
      | deployment | customers/0/tokens       | []                                | $.customers[0].tokens: 'weighbridge' has no token           |
      | deployment | customers/0/rate         | "fast"                            | at `$.customers[0].rate`                                    |
      | deployment | operators                | []                                | At least one operator is needed                             |
      | deployment | models/0/replicas        | 0                                 | $.models[0].replicas: 'm' never runs                        |

  Scenario: What differs from the configuration in force
    Given a sound platform document
    When Version 2 with another timeout, key and service is checked against it
    Then the command exits with 0 and prints "$.Routes[read].TimeoutMs: 1500 -> 900"
    And it prints "$.Services[extra]: added" and no key

  # A document with a number that is not higher is ignored by the daemons.
  Scenario: A document with the number of the one in force
    Given a sound platform document
    When Version 1 with another timeout, key and service is checked against it
    Then the command exits with 1 and prints "$.Version: not above the one in force, 1"

  Scenario Outline: A file that is <what>
    When a file that is <what> is checked
    Then the command exits with 1 and prints "<text>"

    Examples:
      | what          | text          |
      | missing       | No such file  |
      | not an object | not an object |
      | not YAML      | file.yaml     |
