Feature: The workers of short tasks are found without a search for each task

  Scenario Outline: The choice equals that of a search through all workers, seed <seed>
    Given <workers> workers with random tasks, racks, labels and failures, seed <seed>
    When steps of random shapes are placed, one task after the other
    Then each task is placed where a search through all workers places it

    Examples:
      | workers | seed |
      | 5       | 1    |
      | 40      | 2    |
      | 120     | 3    |

  Scenario: A pass looks at each worker once a step, not once a task
    Then a task of a burst of 8 tasks a job looks at most 60 times at one of 450 workers
