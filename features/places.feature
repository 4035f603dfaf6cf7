Feature: Places are judged by one rule, and only hosts that help are asked for

  Scenario: A host that can't be cleared doesn't keep a task that lasts waiting
    Given a pool of 4 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a job of 18 tasks with 3.6 cores and 23 GB that last, of which 2 may be away
    And a wave asks for the host that can't be cleared, of which some tasks stay
    When such a job of 1 tasks with 3.6 cores and 23 GB comes
    Then after 10 s each of them runs

  Scenario: A wave ends though only the spread that we prefer keeps tasks from the other host
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a job of 6 tasks with 2 cores and 2 GB that last, of which 2 may be away
    When a wave asks for the upkeep of each host of the pool in turn
    Then for 60 s no task is away for over 6 s, and at most 2 at once
    And all of the hosts had their upkeep

  Scenario: Room is kept for a task that may start beyond the preferred spread
    Given a pool of 1 hosts with 32 cores and 128 GB, and 0 spare hosts
    And short tasks with 2 cores and 1 GB come all the time, more than fit
    When a job of 4 tasks with 8 cores and 24 GB that last comes
    Then after 12 s each of them runs

  Scenario: Room is kept for a step of the same shape as one that may not run anywhere
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And short tasks with 2 cores and 1 GB come all the time, more than fit
    When a job of 3 tasks with 8 cores and 24 GB, 1 at a worker, lasts and comes
    And such a job of 2 tasks with 8 cores and 24 GB comes
    Then after 12 s each of them runs

  Scenario: A task that lasts doesn't leave for room that long tasks hold
    Given a pool of 3 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a job of 4 tasks with 4 cores and 24 GB that last, of which 2 may be away
    And tasks with 4 cores and 4 GB that end after 20 s fill it
    When a wave asks for the upkeep of each host of the pool in turn
    Then for 40 s no task is away for over 6 s, and at most 2 at once

  Scenario Outline: Workers that take tasks in a moment are room
    Given a service of hosts with 32 cores and 128 GB
    And 4 idle workers that are listed and <state>
    And 32 tasks wait that end after 50 ms with 2 cores and 10 GB
    Then at most 0 hosts are asked for

    Examples: closed for a moment
      | state                     |
      | have not answered yet     |
      | refused a start just now  |

  Scenario: A host that has come but has not answered is not asked for again
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of tasks with 3.6 cores and 24 GB that last
    And a task that lasts waits, and a host that came for it has not answered yet
    Then at most 0 hosts are asked for

  Scenario: A host whose worker is not listed is no room
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of tasks with 3.6 cores and 24 GB that last
    And one more host is up in the pool, whose worker is not listed any more
    Then a task that lasts and finds no room has a host asked for within 10 s

  Scenario: Hosts that can't help are not taken one after the other
    Given a pool of 2 hosts with 32 cores and 128 GB, and 8 spare hosts
    And 2 hosts with label big run what they can of tasks that ask for it
    When one more task that asks for label big comes
    Then after 30 s at most 2 hosts of the pool idle

  Scenario: Short work that fits nowhere takes hosts by what it needs in time
    Given a service of hosts with 32 cores and 128 GB
    And 2 of its hosts are full of tasks with 3.6 cores and 24 GB that last
    And 80 tasks wait that end after 20 ms with 2 cores and 60 GB
    Then at most 6 hosts are asked for

  Scenario: A task that waits for ever doesn't end second runs
    Given a service of hosts with 32 cores and 128 GB
    And 2 idle workers that are listed and refused a start just now
    And a task that lasts waits for a label that no worker has
    Then a task that stands still gets a second run at the other worker

  Scenario: A gang that fits at no host beside the tasks that last gets hosts
    Given a pool of 2 hosts with 32 cores and 128 GB, and 4 spare hosts
    And a job of 2 tasks with 4 cores and 60 GB that last, of which 1 may be away
    When a gang of 4 tasks with 4 cores and 60 GB and 60 ms waits
    Then it starts within 15 s

  Scenario: A pool in its turn leaves a host to a task that lasts
    Given a pool that lacks 8 hosts for short tasks, and one that lacks 1 for a task that lasts
    Then of 3 spare hosts one goes to the task that lasts

  Scenario: A host that was given away stays closed while its worker's entry flickers
    Given a service of hosts with 32 cores and 128 GB
    And a host that idles was given away
    When its worker's entry is missing for 0.5 s and comes back in the same life
    Then no task starts there

  Scenario: Tasks that are to leave and may not don't hold their host closed
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a host with a task of 80 GB and one of three of 40 GB, and a host with the others
    When the latter is asked for, its stops get no answer, and the former is lost
    Then within 15 s the host is clear, or the task that was lost runs there

  Scenario: A host that came for a task isn't put away while the task's advice is under way
    Given a pool of 2 hosts with 32 cores and 128 GB, and 2 spare hosts
    And a job of 4 tasks with 2 cores and 60 GB that last, of which 2 may be away
    When a task of 60 GB that lasts comes on a queue whose policy takes 2 s
    Then it starts within 20 s

  Scenario: Hosts are not taken and put away without end for a task that the policy refuses
    Given a pool of 2 hosts with 32 cores and 128 GB, and 8 spare hosts
    And a job of 4 tasks with 2 cores and 60 GB that last, of which 2 may be away
    When a task of 60 GB that lasts comes on a queue whose policy allows no worker
    Then for 40 s there are at most 12 moves of hosts

  Scenario: Tasks leave a worker that drains though only the preferred spread keeps them
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a job of 6 tasks with 2 cores and 2 GB that last, of which 6 may be away
    When one of the workers is said to drain
    Then for 3 s no task leaves, and within 8.5 s all run at the other worker

  Scenario: Room that is kept for a task that lasts is no room for an urgent one
    Given a service of hosts with 32 cores and 128 GB
    And 2 workers full of less urgent work that saves its state, one of which is half free
    And a task of 24 cores that lasts waits for room
    When an urgent task of 8 cores comes
    Then it starts, or a less urgent run makes room for it

  Scenario: Hosts that can't be cleared don't hold up the others of their wave
    Given a wave over 3 hosts, one at a time, of which the 2 with the fewest tasks can't be cleared
    Then within 6 rounds of clearing the third is asked for

  Scenario: A second run does not start at a worker that closed since work last waited
    Given a service of hosts with 32 cores and 128 GB
    And 2 idle workers that are listed and refused a start just now
    When a task that stands still is the only work, and the other worker's host is asked for
    Then it gets no second run
