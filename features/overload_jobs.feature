Feature: Jobs beyond the capacity of their pools cost the others as little as possible

  Scenario Outline: Under a lasting overload of twice the capacity, <estimates>, most capacity serves jobs in time
    Given a pool of 8 hosts and no spare hosts
    And jobs for 16 hosts arrive for 15 s, with <factor> times their run time as estimate
    When the load is replayed for 60 s
    Then at least <share> of the jobs end in time
    And every job has ended

    Examples: half of the jobs is the most that the capacity allows on average
      | estimates                   | factor | share |
      | with fair estimates         | 1      | 0.4   |
      | with estimates far too long | 3      | 0.4   |
      | with estimates far too low  | 0.33   | 0.25  |

  Scenario: After a burst of five times the mean, later jobs are not late because of earlier ones
    Given a pool of 8 hosts and no spare hosts
    And jobs for 4 hosts arrive from 0 s to 4 s, for 20 hosts to 8 s and for 2 hosts to 20 s
    When the load is replayed for 40 s
    Then at least 0.5 of the jobs end in time
    And every job has ended

  Scenario: A flood in one pool leaves three calm ones what they need
    Given 4 pools of 2 hosts and 12 spare hosts
    And jobs for 60 hosts arrive in the first pool for 8 s, and for 2 hosts in the others for 12 s
    When the load is replayed for 70 s
    Then at least 0.5 of the jobs of each calm pool end in time
    And at least 0.1 of the jobs of each pool end in time
    And every job has ended

  Scenario: Bursts of five times the mean in four pools by turns serve each pool
    Given 4 pools of 2 hosts and 16 spare hosts
    And jobs for 20 hosts arrive in each pool in turn for 4 s
    When the load is replayed for 40 s
    Then at least 0.2 of the jobs of each pool end in time
    And every job has ended
