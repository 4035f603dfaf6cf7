Feature: A service gets the hosts that its tasks need

  Scenario: A stalled task is reported with what keeps it off each worker
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of long-running tasks with 2 cores and 60 GB
    When 1 more such task waits for 2.5 s and one of its hosts is to be evacuated
    Then the task is reported to wait for "a worker with room"
    And 2 workers are reported to lack "memory" and 1 is skipped as "its host is asked for"
    And no further report of it follows for 1.5 s

  Scenario Outline: A long-running task that fits at no open host gets another host
    Given a service of hosts with 32 cores and 128 GB
    And <hosts> of its hosts are full of long-running tasks with <cores> cores and <memory> GB
    When <count> more such tasks wait, and <closed> of its hosts are to be evacuated
    Then <asked> more hosts are requested

    Examples: the resource that is short
      | hosts | cores | memory | count | closed | asked |
      | 3     | 3.6   | 24     | 4     | 0      | 2     |
      | 3     | 3.6   | 24     | 1     | 0      | 1     |
      | 3     | 10    | 8      | 1     | 0      | 1     |
      | 3     | 3.6   | 24     | 7     | 0      | 2     |
      | 1     | 3.6   | 24     | 11    | 0      | 3     |

    Examples: hosts that accept no starts don't count
      | hosts | cores | memory | count | closed | asked |
      | 4     | 3.6   | 24     | 1     | 1      | 2     |

  Scenario: Short tasks that fit at no host beside the long-running ones get another host
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of long-running tasks with 3.6 cores and 24 GB
    When a job of 4 short tasks with 2 cores and 60 GB waits
    Then 2 more hosts are requested

  Scenario Outline: A wave over full hosts leaves no long-running task without a host
    Given a pool of 4 hosts with 32 cores and 128 GB, and <spare> spare hosts
    And a long-running job of 18 tasks with 3.6 cores and 23 GB, of which <most> may be unavailable
    When a wave requests the upkeep of each host of the pool in turn
    Then for 60 s no task is unavailable for over 6 s, and at most <most> at once
    And <upkept> of the hosts had their upkeep

    Examples: with hosts to spare or without
      | spare | most | upkept     |
      | 2     | 2    | all        |
      | 1     | 1    | all        |
      | 0     | 5    | all        |
      | 0     | 2    | any number |

  Scenario: A host takes tasks at once after its upkeep
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    When a wave requests the upkeep of each host of the pool in turn
    And a long-running job of 6 tasks with 10 cores and 8 GB arrives as the last host returns
    Then within 0.3 s 3 tasks run at that host

  Scenario: A task leaves a draining worker only for a worker that may run it
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a long-running job of 6 tasks with 2 cores and 2 GB, of which 6 may be unavailable
    When one of the workers drains
    Then for 3 s no task leaves it, as the other one runs half of the step

  Scenario Outline: A long-running task starts though short tasks compete for all freed capacity
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And short tasks with <cores> cores and <memory> GB keep arriving, more than fit
    When a long-running job of 4 tasks with 8 cores and 24 GB arrives
    Then after 4 s each of them runs

    Examples: the resource that is short
      | cores | memory |
      | 2     | 1      |
      | 1     | 10     |

  Scenario: A step at its limit per worker does not block other steps of the same shape
    Given a pool of 1 hosts with 32 cores and 128 GB, and 0 spare hosts
    When a long-running job of 4 tasks with 2 cores and 2 GB arrives
    And a long-running job of 1 tasks with 3 cores and 3 GB arrives
    Then after 0.3 s each of them runs

  Scenario: A step that fits only one host runs there beyond the preferred spread
    Given a pool of 1 hosts with 32 cores and 128 GB, and 0 spare hosts
    When a long-running job of 4 tasks with 2 cores and 2 GB arrives
    Then after 1 s 2 of them run
    And after 5 s each of them runs

  Scenario: A host that joins long after a takeover takes tasks after its first answer
    Given a service that was taken over 20 s ago
    When a host joins it and its worker answers a first poll
    Then the host takes tasks from then on

  Scenario: A worker that was silent until its lease expired takes tasks once it answers again
    Given a service of hosts with 32 cores and 128 GB
    And one host whose worker was silent until its lease expired
    When its worker answers again
    Then the host takes tasks from then on

  Scenario Outline: An idle host goes to the spare pool only if the need of all pools is known
    Given a planner for hosts of 16 cores
    When a host of pool "a" idles for 5 s, and pool "b" <tells> its need
    Then the idle host is <what>

    Examples: what is known
      | tells         | what     |
      | tells         | put away |
      | does not tell | kept     |

  Scenario: Work that an earlier holder may have started counts as demand
    Given a service that was just taken over with 40 tasks of 8 cores and 8 GB that may run somewhere
    Then it requests room for 40 tasks of 8 cores
