Feature: The declared configuration is what actually runs
  The planner starts VMs, gives them back and sends orders to engines. Its decisions are
  pure functions; the whole planner runs against fakes that refuse calls, lose
  answers and ignore fencing numbers.

  Scenario Outline: Which VMs are started or given back
    Given offers by zone and price: <offers>
    And VMs that run the model: <vms>
    When <n> replicas are wanted and <history>
    Then the plan is <plan>

    Examples:
      | offers                            | vms           | n | history            | plan                                   |
      | a:small:0.3 b:small:0.4           | -             | 1 | nothing happened   | start a/small                          |
      | a:small:0.3 b:small:0.4           | -             | 2 | nothing happened   | start a/small, start b/small           |
      | a:small:0.3 b:small:0.4           | a             | 2 | nothing happened   | start b/small                          |
      | a:small:0.3 b:small:0.4           | -             | 1 | a/small refused    | start b/small                          |
      | a:small:0.3 b:small:0.4           | -             | 1 | a/small reclaimed 4 times | start b/small                   |
      | a:small:0.3 a:steady:1.0          | -             | 1 | nothing happened   | start a/small                          |
      | a:small:0.3 a:steady:1.0          | -             | 1 | a/small refused    | start a/steady                         |
      | a:small:0.3 b:small:0.4           | a b           | 2 | nothing happened   | nothing                                |
      | a:small:0.3 b:small:0.4           | a a b         | 2 | nothing happened   | give back 1 of a                       |
      | a:small:0.3 a:steady:1.0          | a:steady      | 1 | nothing happened   | give back 1 of a                       |
      | a:small:0.3                       | a:starting    | 1 | nothing happened   | nothing                                |
      | a:small:0.3                       | a:leaving     | 1 | nothing happened   | start a/small                          |
      | a:small:0.3 b:small:0.9 c:small:1 | -             | 9 | nothing happened   | start a/small, start a/small, start a/small, start b/small |
      | -                                 | -             | 2 | nothing happened   | nothing                                |

  Scenario Outline: Which engines receive orders
    Given engines that run: <engines>
    When m is declared at version 2 with 3 replicas and <loads> loads are allowed
    Then the orders go to <orders>

    Examples:
      | engines                 | loads | orders  |
      | m:1 m:1 m:2             | 5     | e0 e1   |
      | m:1 m:1 m:2             | 1     | e0      |
      | m:2 m:2 m:2             | 5     | nobody  |
      | m:1:open m:1 m:2        | 5     | e1      |
      | m:1:leaving m:2 m:2     | 5     | nobody  |
      | other:1 m:1             | 5     | e1      |
      | m:1 m:1                 | 0     | nobody  |

  @fresh_fleet
  Scenario: A patched version is rolled out, and a reclaimed engine is replaced
    When the model is patched to version 7 with 3 replicas
    Then within 15 s the cloud runs 3 engines of version 7
    When the first engine is reclaimed with 2 s of notice
    Then within 20 s the cloud runs 3 engines of version 7
    And the engines serve a complete summary

  @fresh_fleet
  Scenario: The cloud's answers to starts are lost, and the planner is killed
    Given the cloud loses the next 2 answers to starts
    When the model is patched to version 1 with 4 replicas
    And the planner is killed after 0.5 s
    Then within 30 s the cloud runs 4 engines of version 1
    And after 3 s more it still runs exactly 4 engines
    And the cloud started exactly 2 VMs

  @fresh_fleet
  Scenario: A zone refuses starts
    Given the zones toowoomba and dalby refuse starts
    When the model is patched to version 1 with 4 replicas
    Then within 20 s the cloud runs 4 engines of version 1

  @fresh_fleet
  Scenario: Surplus replicas are drained and given back
    Given 12 open streams of 200 tokens over all daemons
    When the model is patched to version 1 with 1 replicas
    Then every stream is complete
    And no stream had to be resumed
    And within 30 s the cloud runs 1 engines of version 1

  @fresh_fleet
  Scenario: An order of a previous planner reaches an engine that ignores its fence
    Given engines that ignore fencing numbers
    When the model is patched to version 5 with 2 replicas
    Then within 15 s the cloud runs 2 engines of version 5
    When an order of a previous holder for version 3 reaches the first engine
    Then within 5 s the cloud runs 2 engines of version 5

  @fresh_fleet
  Scenario: An engine that fails without notice is replaced
    When the model is patched to version 1 with 2 replicas
    And the first engine stops answering while its VM stays listed
    Then within 25 s the cloud runs 2 engines that answer
