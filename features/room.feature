Feature: A service gets the hosts that its tasks need

  Scenario: A task that has not moved on is noted with what keeps it from each worker
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of tasks with 2 cores and 60 GB that last
    When 1 more such task waits for 2.5 s and one of its hosts is asked for
    Then it is noted that the task waits for "a worker with room"
    And that 2 workers lack "memory" and 1 is passed over as "its host is asked for"
    And nothing more is noted of it for 1.5 s
