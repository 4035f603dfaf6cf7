Feature: A task that may have crashed a worker waits for no place that can't hold it
  Long-running tasks don't end, and other tasks may not either, so a planned place has to be one that
  comes free, or another one is planned.

  Scenario Outline: A suspected task waits for good for a worker whose long-running tasks stay
    Given 9 workers with long-running tasks, one of which has the fewest and 8 GB beside them
    When a <shape> task of 14 GB that crashed <count> workers waits for <seconds> s
    Then it has started at a worker with room for it

    Examples:
      | shape        | count | seconds |
      | plain        | 1     | 9       |
      | plain        | 2     | 9       |
      | long-running | 1     | 4       |
      | long-running | 2     | 9       |
      | gang         | 1     | 9       |
      | gang         | 2     | 9       |

  Scenario Outline: A suspected task waits for good for a worker that shrank after the plan
    Given 2 workers of which both run short tasks that go on
    When a plain task of 14 GB that crashed <count> workers waits for 1 s
    And the worker that is planned for it shrinks to 8 GB and the short tasks end
    And it waits for 9 s more
    Then it has started at a worker with room for it

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario Outline: A suspected task waits for good for tasks that don't end
    Given 3 workers of which one is full of short tasks that never end
    When a <shape> task of 14 GB that crashed 2 workers waits as the other workers are closed
    And the other workers open and run a short task each
    And it waits for 20 s more
    Then it has started at a worker with room for it

    Examples:
      | shape        |
      | plain        |
      | long-running |
      | gang         |
