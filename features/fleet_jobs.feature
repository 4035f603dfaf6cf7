Feature: Hosts move to where work waits, and upkeep keeps to its bounds

  Scenario: A host is cleared of tasks that last one by one
    Given 2 entries and 5 workers of one service
    And a job of 4 tasks that last, of which 1 may be away
    When a wave asks for upkeep of all hosts within 40 s, 2 at once
    Then within 40 s the wave is said to be done
    And at most 1 of the tasks that last was ever away
    And no bound of the hosts was broken

  Scenario: A wave that is short of time clears the next hosts while others are down
    Given 2 entries and 8 workers of one service
    And every host runs a task of 1.2 s all the time
    When a wave asks for upkeep of all hosts within 10 s, 2 at once
    Then within 10 s the wave is said to be done
    And no bound of the hosts was broken

  Scenario: A task at a silent worker counts as away
    Given a step of 4 tasks that last over 2 workers, of which 1 may be away
    When one of the workers was not heard of for 2 s
    Then no task of the other worker may leave

  Scenario: Hosts that idle go to the spare pool and come back for a burst
    Given 2 entries and 6 workers of one service and 2 spare hosts
    When no work comes for 8 s
    Then at most 2 hosts are paid for
    When jobs for 5 hosts come every second for 4 s
    Then at least 5 hosts were in the pool at some time
    And no bound of the hosts was broken

  Scenario: The next holder of the fleet rests only for hosts with recent orders
    Given 3 entries and 6 workers of one service and 2 spare hosts
    When no work comes for 5 s
    And the holder of the fleet is stopped gracefully while hosts move
    Then within 8 s at most 2 hosts are paid for
    And no bound of the hosts was broken

  Scenario: After a restart of all entries hosts rest from their last order, not from the restart
    Given 3 entries and 6 workers of one service and 2 spare hosts
    When no work comes for 5 s
    And all entries are killed at once and started after 3 s
    And jobs for 5 hosts come every second for 2 s
    Then at least 4 hosts moved within 2.5 s of the start
    And no bound of the hosts was broken

  Scenario: Hosts move while the table answers slowly
    Given 2 entries and 6 workers of one service and 2 spare hosts
    And answers of the table take 0.3 s
    When no work comes for 9 s
    Then at most 2 hosts are paid for
    And no bound of the hosts was broken

  Scenario Outline: After a takeover a host is given away once its worker said that nothing runs there
    Given a holder that took over with workers at 2 hosts and tasks that may run anywhere
    When the worker at the first host <says>, and the other one is silent
    Then the first host is <given> and the other one is kept

    Examples:
      | says                               | given |
      | lists nothing                      | given |
      | lists a task                       | kept  |
      | is silent too                      | kept  |
      | lists nothing, in an earlier life  | kept  |

  Scenario: A host that its pool does not give is left alone for a while, and others move
    Given 2 entries and 3 workers of one service and 3 spare hosts
    And a job just ended at all its hosts, and none of them is given away
    When work for 2 hosts of another service waits for 1.4 s
    Then the 2 hosts that were spare moved to the other service

  Scenario: A host of a wave that its pool does not give takes tasks again for a while
    Given 2 entries and 3 workers of one service
    And none of its hosts is given away
    When a wave asks for upkeep of all hosts within 60 s, 1 at once
    Then in 40 s a host that is asked for in vain for 12 s is left alone for 5 s

  Scenario: Hosts that an earlier holder took down count for the bound of a wave
    Given a wave of 10 hosts with 3 at once, of which 2 are down by an earlier holder's order
    Then only 1 host goes down, though all others idle

  Scenario: Hosts that move between pools do not hold a wave up
    Given a wave of 10 hosts with 3 at once, of which 2 move and 1 is in another wave's upkeep
    Then only 2 hosts go down, though all others idle

  Scenario Outline: The need of a pool that runs <running> and has <waiting> waiting hosts' worth is <hosts>
    Given a planner for hosts of 16 cores
    When a pool runs <running> and has <waiting> waiting, each task for <seconds> s
    Then it wants <hosts> hosts

    Examples:
      | running | waiting | seconds | hosts |
      | 0       | 0       | 1       | 1     |
      | 4       | 0       | 1       | 5     |
      | 4       | 4       | 1       | 10    |
      | 4       | 4       | 0.15    | 7     |

  Scenario Outline: An idle host stays for as long as its pool's declared move is worth
    Given a planner for hosts of 16 cores
    And a move out of pool "a" is declared to cost <cost> s of a host
    When a host of pool "a" idles for <idle> s
    Then the idle host is <what>

    Examples:
      | cost | idle | what     |
      | 5    | 4.9  | kept     |
      | 5    | 5.1  | put away |
      | 0    | 0.1  | put away |

  Scenario: Turns are forecast only from turns that come regularly
    Given turns of pools "a, b, c, d" that begin every 8 s
    Then after the fourth turn the next is forecast for pool "a" within 1 s of its time
    And with turns at 0, 3, 12 and 14 s none is forecast
