Feature: The work of a worker that is only slow to report goes on there

  Scenario Outline: A worker answers polls <delay> s late for 12 s
    Given 1 entries and 2 workers of one service
    And its tasks take 15 s
    When a job of steps "4" is submitted at entry 0
    And after 1 s each worker answers polls <delay> s late for 12 s
    Then within 12 s it is shown as succeeded at every entry
    And every task ran once

    Examples:
      | delay |
      | 0.9   |
      | 1.2   |
      | 2     |

  Scenario Outline: A worker is silent for <silence> s, which is less than the lease of its runs
    Given 1 entries and 2 workers of one service
    And its tasks take 9 s
    When a job of steps "4" is submitted at entry 0
    And after 1 s each worker is silent for <silence> s
    Then within 14 s it is shown as succeeded at every entry
    And every task ran once

    Examples:
      | silence |
      | 1       |
      | 2.5     |
