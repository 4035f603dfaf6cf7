Feature: Hosts move to where work waits, and upkeep stays within its bounds

  Scenario: Long-running tasks leave a host one by one
    Given 2 entries and 5 workers of one service
    And a job of 4 long-running tasks, of which 1 may be unavailable
    When a wave requests the upkeep of all hosts within 40 s, 2 at once
    Then within 40 s the wave is reported as done
    And at most 1 of the long-running tasks was ever unavailable
    And no bound of the hosts was broken

  Scenario: A wave that is short of time evacuates the next hosts while others are down
    Given 2 entries and 8 workers of one service
    And every host runs a task of 1.2 s all the time
    When a wave requests the upkeep of all hosts within 10 s, 2 at once
    Then within 10 s the wave is reported as done
    And no bound of the hosts was broken

  Scenario: A task at a silent worker counts as unavailable
    Given a step of 4 long-running tasks on 2 workers, of which 1 may be unavailable
    When one of the workers has been silent for 2 s
    Then no task of the other worker may be stopped

  Scenario: Idle hosts go to the spare pool and return for a burst
    Given 2 entries and 6 workers of one service and 2 spare hosts
    When no work arrives for 8 s
    Then at most 2 hosts are paid for
    When jobs for 5 hosts arrive every second for 4 s
    Then at least 5 hosts were in the pool at some time
    And no bound of the hosts was broken

  Scenario: The next holder of the fleet waits only for hosts with recent orders
    Given 3 entries and 6 workers of one service and 2 spare hosts
    When no work arrives for 5 s
    And the holder of the fleet is stopped gracefully while hosts move
    Then within 8 s at most 2 hosts are paid for
    And no bound of the hosts was broken

  Scenario: After a restart of all entries the wait counts from a host's last order, not from the restart
    Given 3 entries and 6 workers of one service and 2 spare hosts
    When no work arrives for 5 s
    And all entries are killed at once and started after 3 s
    And jobs for 5 hosts arrive every second for 2 s
    Then at least 4 hosts moved within 2.5 s of the start
    And no bound of the hosts was broken

  Scenario: Hosts move while the table answers slowly
    Given 2 entries and 6 workers of one service and 2 spare hosts
    And answers of the table take 0.3 s
    When no work arrives for 9 s
    Then at most 2 hosts are paid for
    And no bound of the hosts was broken

  Scenario Outline: After a takeover a host is released once its worker reported that nothing runs there
    Given a holder that took over with workers at 2 hosts and tasks that may run anywhere
    When the worker at the first host <says>, and the other one is silent
    Then the first host is <given> and the other one is kept

    Examples:
      | says                               | given |
      | lists nothing                      | given |
      | lists a task                       | kept  |
      | is silent too                      | kept  |
      | lists nothing, in an earlier life  | kept  |

  Scenario: A host that its pool does not release is left alone for a while, and others move
    Given 2 entries and 3 workers of one service and 3 spare hosts
    And a job just ended at all its hosts, and none of them is released
    When work for 2 hosts of another service waits for 1.4 s
    Then the 2 hosts that were spare moved to the other service

  Scenario: A host of a wave that its pool does not release takes tasks again for a while
    Given 2 entries and 3 workers of one service
    And none of its hosts is released
    When a wave requests the upkeep of all hosts within 60 s, 1 at once
    Then in 40 s a host that is requested in vain for 12 s is left alone for 5 s

  Scenario: Hosts that an earlier holder took down count towards the bound of a wave
    Given a wave of 10 hosts with 3 at once, of which 2 are down by an earlier holder's order
    Then only 1 host goes down, though all others idle

  Scenario: A host counts as back by a list that was requested before its upkeep
    Given 1 entries and 4 workers of one service
    And the hosts' upkeep takes 3.5 s
    And a list of the hosts arrives 2.5 s late
    When a wave requests the upkeep of all hosts within 40 s, 1 at once
    Then within 40 s the wave is reported as done
    And no bound of the hosts was broken

  Scenario: A host that moved while the hosts were listed is taken for another pool as it arrives
    Given 1 entries and 1 workers of one service and 1 spare hosts
    And a list of the hosts arrives 0.9 s late
    When a job for 2 hosts arrives while the hosts are listed, and one of them moves
    And work for 1 hosts of another service waits for 4 s
    Then no bound of the hosts was broken
    And the only move brought a host to the service

  Scenario: A host whose move was carried out without an answer is taken for another pool as it arrives
    Given 1 entries and 1 workers of one service and 1 spare hosts
    And a list of the hosts arrives 0.9 s late
    And the answers to moves are lost
    When a job for 2 hosts arrives while the hosts are listed, and one of them moves
    And work for 1 hosts of another service waits for 4 s
    Then no bound of the hosts was broken
    And the only move brought a host to the service

  Scenario: A move that was lost on its way is not ordered again
    Given 1 entries and 1 workers of one service and 1 spare hosts
    And a list of the hosts arrives 0.9 s late
    And the first move is lost
    When a job for 2 hosts arrives while the hosts are listed, and one of them moves
    Then the only move brought a host to the service

  Scenario: A wave that is done is never reported, as its holder ends while reports fail
    Given 2 entries and 4 workers of one service
    And reports of waves fail
    When a wave requests the upkeep of all hosts within 40 s, 2 at once
    And all hosts have had their upkeep within 40 s
    And the holder of the fleet is killed, and reports of waves succeed again
    Then within 20 s the wave is reported as done
    And no bound of the hosts was broken

  Scenario: A host that went down without an answer is ordered down again and again, and doesn't count in between
    Given 1 entries and 2 workers of one service and 1 spare hosts
    And every host of the service runs a task
    And the answer to the first order of upkeep is lost
    And a list of the hosts arrives 0.9 s late
    When a wave requests the upkeep of all hosts within 60 s, 2 at once
    And the tasks end 0.3 s after the first host went down
    Then within 20 s the wave is reported as done
    And no order for a host was refused
    And no bound of the hosts was broken

  Scenario: A wave whose first order of upkeep is lost never ends
    Given 1 entries and 4 workers of one service
    And the first order of upkeep is lost
    When a wave requests the upkeep of all hosts within 40 s, 2 at once
    Then within 20 s the wave is reported as done
    And no bound of the hosts was broken

  Scenario: Hosts that move between pools do not delay a wave
    Given a wave of 10 hosts with 3 at once, of which 2 move and 1 is in another wave's upkeep
    Then only 2 hosts go down, though all others idle

  Scenario Outline: The need of a pool that runs <running> and has <waiting> waiting hosts' worth is <hosts>
    Given a planner for hosts of 16 cores
    When a pool runs <running> and has <waiting> waiting, each task for <seconds> s
    Then it needs <hosts> hosts

    Examples:
      | running | waiting | seconds | hosts |
      | 0       | 0       | 1       | 1     |
      | 4       | 0       | 1       | 5     |
      | 4       | 4       | 1       | 10    |
      | 4       | 4       | 0.15    | 7     |

  Scenario Outline: An idle host stays for as long as its pool's declared move costs
    Given a planner for hosts of 16 cores
    And a move out of pool "a" is declared to cost <cost> s of a host
    When a host of pool "a" idles for <idle> s
    Then the idle host is <what>

    Examples:
      | cost | idle | what     |
      | 5    | 4.9  | kept     |
      | 5    | 5.1  | put away |
      | 0    | 0.1  | put away |

  Scenario: Bursts are forecast only from regular bursts
    Given bursts in pools "a, b, c, d" that begin every 8 s
    Then after the fourth burst the next is forecast for pool "a" within 1 s of its time
    And with bursts at 0, 3, 12 and 14 s none is forecast

  Scenario: Hosts whose tasks leave a few at a time get their upkeep within the time of their wave
    Given a wave of 74 hosts within 28 s, 24 at once
    And 34 of them hold 3 long-running tasks each, of which 6 in all may be away for 1.5 s at once
    Then each host goes down within 28 s, and at most 24 are down at once
