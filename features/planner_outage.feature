Feature: An outage of the object API is no evidence of fewer engines
  The planner runs in virtual time against the object API in memory and a fake cloud. It
  must start and release nothing because it could not read for a while, or because
  entries disappeared meanwhile.

  Background:
    Given a planner whose 3 engines have answered for 5 s

  # Guards against a planner that acts on what it knew before the outage.
  Scenario: The object API is down for longer than the lease
    When the object API is down for 20 s
    And the planner runs for 20 s
    Then no engine was started or released

  # Guards against counting the time of the outage as silence of the engine.
  Scenario: An engine misses the last readings under the lease and one after the outage
    When the object API is down for 20 s and engine vm-1 misses readings after 5 s
    And engine vm-1 misses its next 1 readings
    And the planner runs for 20 s
    Then no engine was started or released

  # Guards against replacing a VM whose entry alone cannot be read.
  Scenario: The list of VMs leaves out an engine that still answers
    When the list leaves out vm-1
    And the planner runs for 20 s
    Then no engine was started or released
    When the list has all VMs again
    And the planner runs for 20 s
    Then no engine was started or released

  # Guards against a second start when the record of the first has been lost.
  Scenario: The fleet record expires during an outage while a VM starts
    When the cloud lists no started VM and 4 replicas are declared
    And the planner runs for 2 s
    Then 1 engine was started and none released
    When the object API is down for 20 s and its entries expire
    And the planner runs for 8 s
    Then 1 engine was started and none released

  # Guards against silence that begins anew in each round, so that it never ends.
  Scenario: A silent engine is replaced although another deployment's rounds take long
    When another deployment's rounds take 5 s, since its engines are silent
    And engine vm-1 misses its next 99 readings
    And the planner runs for 30 s
    Then 1 engine was started and 1 released

  # The control: without an outage, engines that are gone are replaced as before.
  Scenario Outline: An engine that is gone is replaced
    When <cause>
    And the planner runs for 20 s
    Then 1 engine was started and <n> released

    Examples:
      | cause                                                          | n    |
      | engine vm-1 misses its next 99 readings                        | 1    |
      | vm-1 ends and the list leaves it out                           | none |
      | vm-1 ends and an engine of another deployment gets its address | none |
