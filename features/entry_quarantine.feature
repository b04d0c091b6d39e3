Feature: A prompt part that crashes servers is held back, and nothing else

  @known_red
  Scenario: Requests with a part that crashed servers reach no more of them
    Given 3 entry daemons and 4 servers that crash on the prompt part "bad"
    When callers send prompts with the parts "shared,bad" and "shared,good" for 8 s
    Then at most 3 with the part "bad" reached servers later than 3 s after the fifth crash
    And nine in ten with the part "good" were answered in the last 3 s
