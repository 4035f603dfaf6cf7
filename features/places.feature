Feature: Tasks are placed by one rule, and only useful hosts are requested

  Scenario: A host that can't be evacuated doesn't keep a long-running task waiting
    Given a pool of 4 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a long-running job of 18 tasks with 3.6 cores and 23 GB, of which 2 may be unavailable
    And a wave requests a host that can't be evacuated, as some of its tasks stay
    When a further such job of 1 tasks with 3.6 cores and 23 GB arrives
    Then after 10 s each of them runs

  Scenario: A wave ends though only the preferred spread keeps tasks off the other host
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a long-running job of 6 tasks with 2 cores and 2 GB, of which 2 may be unavailable
    When a wave requests the upkeep of each host of the pool in turn
    Then for 60 s no task is unavailable for over 6 s, and at most 2 at once
    And all of the hosts had their upkeep

  Scenario: Capacity is reserved for a task that may start beyond the preferred spread
    Given a pool of 1 hosts with 32 cores and 128 GB, and 0 spare hosts
    And short tasks with 2 cores and 1 GB keep arriving, more than fit
    When a long-running job of 4 tasks with 8 cores and 24 GB arrives
    Then after 12 s each of them runs

  Scenario: Capacity is reserved for a step of the same shape as one that can't be placed
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And short tasks with 2 cores and 1 GB keep arriving, more than fit
    When a long-running job of 3 tasks with 8 cores and 24 GB, 1 at a worker, arrives
    And a further such job of 2 tasks with 8 cores and 24 GB arrives
    Then after 12 s each of them runs

  Scenario: A task that lasts doesn't leave for room that long tasks hold
    Given a pool of 3 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a long-running job of 4 tasks with 4 cores and 24 GB, of which 2 may be unavailable
    And tasks with 4 cores and 4 GB that end after 20 s fill the pool
    When a wave requests the upkeep of each host of the pool in turn
    Then for 40 s no task is unavailable for over 6 s, and at most 2 at once

  Scenario Outline: Workers that will accept tasks in a moment count as capacity
    Given a service of hosts with 32 cores and 128 GB
    And 4 idle workers that are listed and <state>
    And 32 tasks of 50 ms with 2 cores and 10 GB wait
    Then at most 0 hosts are requested

    Examples: unavailable for a moment
      | state                     |
      | have not answered yet     |
      | refused a start just now  |

  Scenario: A host that arrived but has not answered yet is not requested again
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of long-running tasks with 3.6 cores and 24 GB
    And a long-running task waits, and a host that arrived for it has not answered yet
    Then at most 0 hosts are requested

  Scenario: A host whose worker is not listed doesn't count as capacity
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of long-running tasks with 3.6 cores and 24 GB
    And one more host is up in the pool, whose worker is not listed any more
    Then a host is requested within 10 s for a long-running task that finds no room

  Scenario: Hosts that a task can't use are not requested one after the other
    Given a pool of 2 hosts with 32 cores and 128 GB, and 8 spare hosts
    And 2 hosts with label big are full of tasks that require it
    When one more task that requires label big arrives
    Then after 30 s at most 2 hosts of the pool idle

  Scenario: Short tasks that fit nowhere request hosts in proportion to their run time
    Given a service of hosts with 32 cores and 128 GB
    And 2 of its hosts are full of long-running tasks with 3.6 cores and 24 GB
    And 80 tasks of 20 ms with 2 cores and 60 GB wait
    Then at most 6 hosts are requested

  Scenario: A task that can never start doesn't prevent second runs
    Given a service of hosts with 32 cores and 128 GB
    And 2 idle workers that are listed and refused a start just now
    And a long-running task waits for a label that no worker has
    Then a stalled task gets a second run at the other worker

  Scenario: A gang that fits at no host beside the tasks that last gets hosts
    Given a pool of 2 hosts with 32 cores and 128 GB, and 4 spare hosts
    And a long-running job of 2 tasks with 4 cores and 60 GB, of which 1 may be unavailable
    When a gang of 4 tasks with 4 cores and 60 GB and 60 ms waits
    Then it starts within 15 s

  Scenario: A gang that no rack can hold requests no hosts
    Given a pool of 2 hosts with 32 cores and 128 GB, and 8 spare hosts
    When a gang of 40 tasks with 4 cores and 60 GB that needs one rack waits
    Then after 20 s the pool has at most 2 hosts

  Scenario: A pool in a burst leaves a host to a long-running task
    Given a pool that lacks 8 hosts for short tasks, and one that lacks 1 for a long-running task
    Then of 3 spare hosts one goes to the long-running task

  Scenario: A host that was released stays closed while its worker's entry is missing briefly
    Given a service of hosts with 32 cores and 128 GB
    And an idle host was released
    When its worker's entry is missing for 0.5 s and returns with the same incarnation
    Then no task starts there

  Scenario: Tasks that are to leave and may not don't hold their host closed
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a host with a task of 80 GB and one of three of 40 GB, and a host with the others
    When the latter is requested, its stops get no answer, and the former is lost
    Then within 15 s the host is evacuated, or the lost task runs there

  Scenario: A host that arrived for a task stays in the pool while the task's advice is pending
    Given a pool of 2 hosts with 32 cores and 128 GB, and 2 spare hosts
    And a long-running job of 4 tasks with 2 cores and 60 GB, of which 2 may be unavailable
    When a long-running task of 60 GB arrives on a queue whose policy takes 2 s
    Then it starts within 20 s

  Scenario: Hosts don't move back and forth for a task that the policy refuses
    Given a pool of 2 hosts with 32 cores and 128 GB, and 8 spare hosts
    And a long-running job of 4 tasks with 2 cores and 60 GB, of which 2 may be unavailable
    When a long-running task of 60 GB arrives on a queue whose policy allows no worker
    Then for 40 s there are at most 12 moves of hosts

  Scenario: Tasks leave a draining worker though only the preferred spread keeps them
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a long-running job of 6 tasks with 2 cores and 2 GB, of which 6 may be unavailable
    When one of the workers drains
    Then for 3 s no task leaves, and within 8.5 s all run at the other worker

  Scenario: An urgent task gets room though capacity is reserved for a long-running one
    Given a service of hosts with 32 cores and 128 GB
    And 2 workers, one half full and one full of less urgent work with checkpoints
    And a long-running task of 24 cores waits for room
    When an urgent task of 8 cores arrives
    Then it starts, or a less urgent run is preempted for it

  Scenario: Hosts that can't be evacuated don't block the others of their wave
    Given a wave over 3 hosts, one at a time, of which the 2 with the fewest tasks can't be evacuated
    Then within 6 rounds the third is requested

  Scenario: A second run does not start at a worker that was closed since work last waited
    Given a service of hosts with 32 cores and 128 GB
    And 2 idle workers that are listed and refused a start just now
    When a stalled task is the only work, and the other worker's host is to be evacuated
    Then it gets no second run
