Feature: Settings are validated on start, and remote operators need a token

  Scenario Outline: Every fault of a settings file is named by file and field
    Given the example settings
    When "<old>" is changed into "<new>" there
    Then the daemon's settings are refused for exactly "<fields>"

    Examples:
      | old                  | new                                             | fields                               |
      | seats = 10           | seats = 0                                       | seats                                |
      | seats = 10           | saets = 10                                      | saets                                |
      | entry = "entry-1"    | entry = 5                                       | entry                                |
      | zone = "ro-1"        |                                                 | zone                                 |
      | log_level = "info"   | log_level = "loud"                              | log_level                            |
      | port = 8081          | port = 70000                                    | operators.port                       |
      | port = 8081          | host = "::2"                                    | (whole file)                         |
      | seats = 10           | seats = "x"\npoll_interval_s = 0                | (whole file)                         |
      | poll_interval_s = 1.0 | poll_interval_s = -1\nwrong = 1\nmore = 2      | more poll_interval_s wrong           |

  Scenario Outline: The operators' port never listens beyond loopback without a token
    Given the example settings
    When operators listen at "<host>" with the token "<token>"
    Then the daemon's settings are refused for exactly "<fields>"

    Examples:
      | host        | token  | fields          |
      | 127.0.0.1   |        | nothing         |
      | ::1         |        | nothing         |
      | localhost   |        | nothing         |
      | 0.0.0.0     |        | operators.token |
      | ::          |        | operators.token |
      | 192.0.2.7   |        | operators.token |
      | some.host   |        | operators.token |
      | 192.0.2.7   | secret | nothing         |

  Scenario: The daemon exits with 2 on a faulty file and prints every fault
    Given the example settings
    When "seats = 10" is changed into "seats = 0\nnothing = 1" there
    Then the daemon ends with 2 and names "seats" and "nothing"

  Scenario: No line of the example is redundant, and the reference is up to date
    Given the example settings
    Then the example sets every field, and none of its lines is redundant
    And the reference describes each setting
    And "docs/operating/settings.md" is up to date with the code
