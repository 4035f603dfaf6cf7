Feature: A service gets the hosts that its tasks need

  Scenario: A task that has not moved on is noted with what keeps it from each worker
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of tasks with 2 cores and 60 GB that last
    When 1 more such task waits for 2.5 s and one of its hosts is asked for
    Then it is noted that the task waits for "a worker with room"
    And that 2 workers lack "memory" and 1 is passed over as "its host is asked for"
    And nothing more is noted of it for 1.5 s

  Scenario Outline: A task that lasts and finds no room at any open host gets another host
    Given a service of hosts with 32 cores and 128 GB
    And <hosts> of its hosts are full of tasks with <cores> cores and <memory> GB that last
    When <count> more such tasks wait, and <closed> of its hosts are asked for
    Then <asked> more hosts are asked for

    Examples: what every host lacks
      | hosts | cores | memory | count | closed | asked |
      | 3     | 3.6   | 24     | 4     | 0      | 2     |
      | 3     | 3.6   | 24     | 1     | 0      | 1     |
      | 3     | 10    | 8      | 1     | 0      | 1     |
      | 3     | 3.6   | 24     | 7     | 0      | 2     |
      | 1     | 3.6   | 24     | 11    | 0      | 3     |

    Examples: hosts that take no start are no room
      | hosts | cores | memory | count | closed | asked |
      | 4     | 3.6   | 24     | 1     | 1      | 2     |

  Scenario: Work that fits at no host beside the tasks that last gets another host
    Given a service of hosts with 32 cores and 128 GB
    And 3 of its hosts are full of tasks with 3.6 cores and 24 GB that last
    When a job of 4 tasks with 2 cores and 60 GB that end soon waits
    Then 2 more hosts are asked for

  Scenario Outline: A wave over hosts that are full leaves no task that lasts without a host
    Given a pool of 4 hosts with 32 cores and 128 GB, and <spare> spare hosts
    And a job of 18 tasks with 3.6 cores and 23 GB that last, of which <most> may be away
    When a wave asks for the upkeep of each host of the pool in turn
    Then for 60 s no task is away for over 6 s, and at most <most> at once
    And <upkept> of the hosts had their upkeep

    Examples: with hosts to spare or without
      | spare | most | upkept     |
      | 2     | 2    | all        |
      | 1     | 1    | all        |
      | 0     | 5    | all        |
      | 0     | 2    | any number |

  Scenario: A host that is back from its upkeep takes tasks at once
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    When a wave asks for the upkeep of each host of the pool in turn
    And a job of 6 tasks with 10 cores and 8 GB that last comes as the last host is back
    Then within 0.3 s 3 tasks run at that host

  Scenario: A task leaves a worker that drains only for a worker that may take it
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And a job of 6 tasks with 2 cores and 2 GB that last, of which 6 may be away
    When one of the workers is said to drain
    Then for 3 s no task leaves it, as the other one runs half of the step

  Scenario Outline: A task that lasts starts though short tasks ask for all that comes free
    Given a pool of 2 hosts with 32 cores and 128 GB, and 0 spare hosts
    And short tasks with <cores> cores and <memory> GB come all the time, more than fit
    When a job of 4 tasks with 8 cores and 24 GB that last comes
    Then after 4 s each of them runs

    Examples: what is short
      | cores | memory |
      | 2     | 1      |
      | 1     | 10     |

  Scenario: A step that is spread as far as it goes does not hold up others of its shape
    Given a pool of 1 hosts with 32 cores and 128 GB, and 0 spare hosts
    When a job of 4 tasks with 2 cores and 2 GB that last comes
    And a job of 1 tasks with 3 cores and 3 GB that last comes
    Then after 0.3 s each of them runs

  Scenario: A step that only one host can take runs there, beyond the spread that is preferred
    Given a pool of 1 hosts with 32 cores and 128 GB, and 0 spare hosts
    When a job of 4 tasks with 2 cores and 2 GB that last comes
    Then after 1 s 2 of them run
    And after 5 s each of them runs

  Scenario: A host that joins long after a takeover takes tasks once it answered
    Given a service that was taken over 20 s ago
    When a host joins it and its worker answers a first look
    Then the host takes tasks from then on

  Scenario: A worker that was silent until its lease lapsed takes tasks once it answers again
    Given a service of hosts with 32 cores and 128 GB
    And one host whose worker was silent until its lease lapsed
    When its worker answers again
    Then the host takes tasks from then on

  Scenario Outline: An idle host is put away only where the need of all pools is known
    Given a planner for hosts of 16 cores
    When a host of pool "a" idles for 5 s, and pool "b" <tells> its need
    Then the idle host is <what>

    Examples: what is known
      | tells         | what     |
      | tells         | put away |
      | does not tell | kept     |

  Scenario: Work that an earlier holder may have started counts as need
    Given a service that was just taken over with 40 tasks of 8 cores and 8 GB that may run somewhere
    Then it asks for room for 40 tasks of 8 cores
