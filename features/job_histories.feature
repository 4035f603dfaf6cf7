Feature: Random histories of jobs and faults lose, double and stop nothing

  Scenario Outline: A small number of histories with the seed of the run
    Then 1 random histories of jobs, the <part> ones, violate no guarantee

    Examples:
      | part   |
      | first  |
      | second |
      | third  |

  Scenario Outline: A small number of histories in which queues move to other services
    Then 1 random histories of queues that move, the <part> ones, lose no job

    Examples:
      | part   |
      | first  |
      | second |

  @soak
  Scenario: A large number of histories
    Then 50 random histories of jobs, the soaked ones, violate no guarantee

  @soak
  Scenario: A large number of histories in which queues move
    Then 50 random histories of queues that move, the soaked ones, lose no job
