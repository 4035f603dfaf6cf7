Feature: Random histories of jobs and faults lose, double and stop nothing

  Scenario Outline: A small number of histories with the seed of the run
    Then 1 random histories of jobs, the <part> ones, violate no guarantee

    Examples:
      | part   |
      | first  |
      | second |
      | third  |

  @soak
  Scenario: A large number of histories
    Then 50 random histories of jobs, the soaked ones, violate no guarantee
