Feature: Servers of uneven speed

  Scenario Outline: A load of <value> counts as <counted>
    # Guards against losing the whole load of a server because of its optional figure.
    Then a server's load of "<value>" counts as "<counted>"

    Examples:
      | value           | counted         |
      | 3,0,6           | 3 0 6 None      |
      | 3,0,6,100       | 3 0 6 100.0     |
      | 3, 1, 6, 250    | 3 1 6 250.0     |
      | 3,0,6,182.5     | 3 0 6 182.5     |
      | 3,0,6,          | 3 0 6 None      |
      | 3,0,6,fast      | 3 0 6 None      |
      | 3,0,6,-100      | 3 0 6 None      |
      | 3,0,6,0         | 3 0 6 None      |
      | 3,0,6,nan       | 3 0 6 None      |
      | 3,0,6,inf       | 3 0 6 None      |
      | 3,0,6,999999999 | 3 0 6 None      |
      | 3,0             | nothing         |
      | 3,0,x,100       | nothing         |
      | 3,0,6,100,1     | nothing         |
