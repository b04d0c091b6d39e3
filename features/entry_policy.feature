Feature: Decisions and shared bounds of the entry daemons, in virtual time

  Scenario: No interleaving makes two holders of the duties
    Then over 10000 interleavings of takes, renewals, reports, freezes, kills and lost answers no rule of holders is broken

  Scenario: Repeats of all daemons stay within the budget
    Then over 300 fleets and loads no window has more repeats than the ratio and the extra allow

  Scenario: Quotas of all daemons hold over cuts between them
    Then over 200 histories of cuts and restarts no window has more units than the quota and its slack allow

  Scenario: A queue beyond the objective is refused and a short one is not
    When 4 engines get prompts for 150% of what they can read for 60 s
    Then of the prompts that were sent 95% begin within the objective
    And more prompts begin within the objective than with every prompt sent

  Scenario Outline: A fleet for a load of <load> with <case>
    Given zones with <spot> reclaimable and <ondemand> on-demand servers, refusing in "<refusing>"
    Then <needed> servers are planned as reclaimable <plan_spot> and on-demand <plan_od>

    Examples:
      | case             | load | spot    | ondemand | refusing | needed | plan_spot | plan_od |
      | nothing there    | 1.0  | 0,0,0,0 | 0,0,0,0  | none     | 4      | 1,1,1,1   | 2,0,0,0 |
      | all there        | 1.0  | 1,1,1,1 | 0,0,0,0  | none     | 4      | 1,1,1,1   | 0,0,0,0 |
      | one zone refuses | 1.0  | 0,2,1,1 | 0,0,0,0  | a        | 4      | 0,2,1,1   | 0,0,0,0 |
      | none to be had   | 1.0  | 0,0,0,0 | 0,0,0,0  | a,b,c,d  | 4      | 0,0,0,0   | 2,0,0,0 |
      | the found fleet  | 1.0  | 0,0,0,0 | 2,1,1,1  | none     | 4      | 1,1,1,1   | 2,0,0,0 |
      | growth           | 2.0  | 1,1,1,1 | 0,0,0,0  | none     | 8      | 2,2,2,2   | 0,0,0,0 |

  Scenario: The first seconds of a deployment find servers for what its customers may bring
    Given customers whose quotas sum to 480000 tokens a second and a found fleet of 4
    When they bring 270000 tokens a second from 15 s on, nothing is cached for 8 s, and a zone is reclaimed 4 s after the first with none to be had for 12 s
    Then 95% of the prompts begin within 1.0 s in each second
    And without a look at the quotas some second has under 50%

  Scenario Outline: Events cut anywhere come out whole
    Then over 500 ways to cut a stream the pieces passed on end at events and the last id is right

    Examples:
      | any |
      | 1   |

  Scenario: A log that nobody reads is bounded and never blocks
    When 20000 lines are logged into a pipe that nobody reads
    Then it took under 3 s and the dropped lines are counted

  Scenario: Names of the platform's wire stay in its folder
    Then no module outside the platform's folder and the stand-ins has a header or field of its wire

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

  Scenario: Each daemon of a large fleet is in some directory answers
    Then of 82 daemons in 5 zones each is in some of 200 answers of 64
