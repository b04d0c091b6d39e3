Feature: Policies and shared limits of the entry daemons, in virtual time

  Scenario: No interleaving yields two concurrent holders of the duties
    Then over 10000 interleavings of acquisitions, renewals, reports, pauses, restarts and lost answers no lease rule is violated

  Scenario: No lease rule is violated when the store comes back from an older copy
    Then over 10000 interleavings of these and of restored copies of the store no lease rule is violated

  Scenario: Retries of all daemons together stay within the budget
    Then over 300 random fleets and loads no window has more retries than the ratio and the extra retries allow

  Scenario: Quotas hold across network partitions between daemons
    Then over 200 random histories with a network partition no window has more units than the quota and its slack allow

  Scenario: Prompts are refused when the queue exceeds the objective and sent when it is short
    When 4 engines receive prompts at 150% of their prefill capacity for 60 s
    Then 95% of the prompts sent to engines start within the objective
    And more prompts start within the objective than if every prompt is sent

  Scenario Outline: A fleet for a load of <load> with <case>
    Given zones with <spot> reclaimable and <ondemand> on-demand servers, with reclaimable servers refused in "<refusing>"
    Then <needed> servers are needed, planned as reclaimable <plan_spot> and on-demand <plan_od>

    Examples:
      | case             | load | spot    | ondemand | refusing | needed | plan_spot | plan_od |
      | nothing there    | 1.0  | 0,0,0,0 | 0,0,0,0  | none     | 4      | 1,1,1,1   | 2,0,0,0 |
      | all there        | 1.0  | 1,1,1,1 | 0,0,0,0  | none     | 4      | 1,1,1,1   | 0,0,0,0 |
      | one zone refuses | 1.0  | 0,2,1,1 | 0,0,0,0  | a        | 4      | 0,2,1,1   | 0,0,0,0 |
      | none to be had   | 1.0  | 0,0,0,0 | 0,0,0,0  | a,b,c,d  | 4      | 0,0,0,0   | 2,0,0,0 |
      | the found fleet  | 1.0  | 0,0,0,0 | 2,1,1,1  | none     | 4      | 1,1,1,1   | 2,0,0,0 |
      | growth           | 2.0  | 1,1,1,1 | 0,0,0,0  | none     | 8      | 2,2,2,2   | 0,0,0,0 |

  Scenario: The fleet is sized for the customers' quotas in the first seconds of a deployment
    Given customers with quotas of 480000 tokens per second in total and an initial fleet of 4 servers
    When they send 270000 tokens per second from 15 s on, nothing is cached for 8 s, and a zone is reclaimed 4 s after the first prompt with reclaimable servers refused for 12 s
    Then 95% of the prompts start within 1.0 s in each second
    And if the quotas are ignored, under 50% of the prompts start within 1.0 s in some second

  Scenario Outline: Only whole events are passed on, wherever a stream is split
    Then over 500 random splits of a stream with lines that end in <line_end> the data passed on ends at event boundaries and the last id is correct

    Examples:
      | line_end |
      | LF       |
      | CRLF     |

  Scenario Outline: The end of a <framing> stream <place> is <verdict>
    Then a "<framing>" stream that ends "<place>" is "<verdict>"

    Examples:
      | framing  | place                   | verdict                                 |
      | framed   | after an event          | complete                                |
      | framed   | inside an event         | ended inside an event                   |
      | framed   | before its first event  | complete                                |
      | unframed | after an event          | complete                                |
      | unframed | inside an event         | ended inside an event                   |
      | unframed | before its first event  | closed before its first event           |
      | framed   | after its run may stop  | complete                                |
      | unframed | after its run may stop  | closed after its run was stopped        |
      | unframed | as its server ends      | closed as its server ended              |

  Scenario Outline: A process whose new connections are <seen> <verdict>
    Then a process whose new connections are "<seen>" in turn "<verdict>"

    Examples:
      | seen                         | verdict   |
      | kept                         | runs      |
      | refused                      | has ended |
      | silent                       | has ended |
      | reset, refused               | has ended |
      | reset, silent                | has ended |
      | reset, kept                  | runs      |
      | reset, reset, refused        | has ended |
      | reset, reset, reset, refused | has ended |
      | reset, reset, reset, reset   | runs      |

  Scenario Outline: A server whose new connections are <seen> after a break <verdict>
    Then a server whose new connections are "<seen>" after a break "<verdict>"

    Examples:
      | seen                    | verdict     |
      | refused                 | has crashed |
      | kept, kept              | runs        |
      | reset, reset            | runs        |
      | kept, reset             | runs        |
      | reset, refused          | has crashed |
      | silent, silent, refused | has crashed |
      | silent, kept, reset     | runs        |

  Scenario Outline: Paths to a server that are <seen> show that it is <verdict>
    Then paths to a server that are "<seen>" show that it is "<verdict>"

    Examples:
      | seen            | verdict |
      | refused         | refused |
      | refused,reset   | reset   |
      | refused,silent  | silent  |
      | reset           | reset   |
      | reset,silent    | reset   |
      | silent          | silent  |
      | EMFILE          | silent  |
      | EHOSTUNREACH    | silent  |
      | ECONNREFUSED    | refused |
      | ECONNRESET      | reset   |

  Scenario: A log that is not read is bounded and never blocks
    When 20000 lines are logged to a pipe that is not read
    Then logging takes under 3 s and the dropped lines are counted

  Scenario: Names of the platform's protocol are used only in its package
    Then no module outside the platform package and the fakes contains a header or field of the platform's protocol

  Scenario Outline: Settings files
    Then a settings file with <change> is <outcome>

    Examples:
      | change            | outcome                  |
      | no change         | accepted                 |
      | an unknown field  | accepted                 |
      | no Node           | refused, naming "Node"   |
      | no Listen         | refused, naming "Listen" |
      | a wrong Platform  | refused, naming "Platform" |
      | no JSON           | refused, naming "settings file" |

  Scenario: A call that is cancelled at the moment of its answer ends
    When a call to a server is cancelled in the step in which its answer arrives
    Then its task is cancelled

  Scenario: Each daemon of a large fleet appears in some directory answers
    Then each of 82 daemons in 5 zones appears in some of 200 answers of 64 daemons

  Scenario Outline: A stream begun at <recorded> goes on at <version> if <possible> may have begun it, <knowledge>
    Then a stream begun at "<recorded>" that "<possible>" may have begun, <knowledge>, goes on at "<version>"

    Examples:
      | recorded | possible | knowledge                | version |
      | v1       | v1,v2    | known to be all versions | v1      |
      | v1       |          | perhaps not all versions | v1      |
      |          | v2       | known to be all versions | v2      |
      |          | v1,v2    | known to be all versions | none    |
      |          | v2       | perhaps not all versions | none    |
      |          |          | known to be all versions | none    |

  Scenario: The keepers of a stream's version outlive other daemons
    Then over 300 streams and 30 daemons of which any 10 died or joined since, those asked include a living keeper if there is one
