Feature: The entry daemon's packages install on every kind of machine

  Scenario: The list has the versions of the project and files for each kind of machine
    Given the list of the entry daemon's packages
    Then each has the version that the project pins
    And each has hashes of files for x86-64, for arm64 and of the source

  Scenario: What the entry daemon imports is in the list
    Then every package that the entry daemon imports is in the list

  Scenario Outline: A folder of packages is taken for built <result>
    Given packages that were built for this interpreter, machine and list
    When <change>
    Then they count as <result>

    Examples:
      | change                               | result    |
      | nothing changes                      | built     |
      | the list gets another version        | not built |
      | the kind of machine is another one   | not built |
      | the interpreter is another one       | not built |
      | the note on what they fit is missing | not built |
