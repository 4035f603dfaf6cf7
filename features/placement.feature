Feature: Tasks run where they fit, only once, and are preempted for urgent work

  Scenario Outline: The placer answers "<answer>" for <case>
    Given a pool of <workers> workers with <shape>, <racks> to a rack, and a team quota of <quota> cores
    And the running tasks "<running>"
    When a job wants "<job>"
    Then the placer answers "<answer>"

    Examples:
      | case                      | workers | shape      | racks | quota | running                 | job                | answer                 |
      | a free worker             | 2       | 8c 16g 0a  | 1     | 64    |                         | normal 2c 4g 0a x1 | start w0               |
      | spread over zones         | 4       | 8c 16g 0a  | 1     | 64    |                         | normal 2c 4g 0a x3 | start w0,w1,w2         |
      | spread over racks first   | 4       | 8c 16g 0a  | 2     | 64    |                         | normal 2c 4g 0a x2 | start w0,w2            |
      | the fullest that fits     | 2       | 8c 16g 0a  | 1     | 64    | w1 other batch 4c       | normal 2c 4g 0a x1 | start w1               |
      | too many cores            | 2       | 8c 16g 0a  | 1     | 64    |                         | normal 9c 4g 0a x1 | unschedulable no worker |
      | no accelerator            | 2       | 8c 16g 0a  | 1     | 64    |                         | normal 1c 4g 1a x1 | unschedulable no worker |
      | accelerators              | 2       | 8c 16g 2a  | 1     | 64    |                         | normal 1c 4g 2a x2 | start w0,w1            |
      | a task above the quota    | 2       | 8c 16g 0a  | 1     | 4     |                         | normal 6c 4g 0a x1 | unschedulable quota    |
      | a quota that is used up   | 2       | 8c 16g 0a  | 1     | 4     |                         | normal 2c 4g 0a x5 | start w0,w1            |
      | a full pool               | 1       | 8c 16g 0a  | 1     | 64    | w0 other batch 8c       | normal 2c 4g 0a x1 | nothing                |
      | urgent on a full pool     | 1       | 8c 16g 0a  | 1     | 64    | w0 other batch 8c       | urgent 2c 4g 0a x1 | preempt w0             |
      | urgent picks batch first  | 2       | 8c 16g 0a  | 1     | 64    | w0 o1 normal 8c; w1 o2 batch 8c | urgent 2c 4g 0a x1 | preempt w1     |
      | guarded is not preempted  | 1       | 8c 16g 0a  | 1     | 64    | w0 other batch 8c guarded | urgent 2c 4g 0a x1 | nothing              |
      | urgent preempts no urgent | 1       | 8c 16g 0a  | 1     | 64    | w0 other urgent 8c      | urgent 2c 4g 0a x1 | nothing                |
      | capacity being freed      | 2       | 8c 16g 0a  | 1     | 64    | w0 o1 batch 8c checkpointing; w1 o2 batch 8c | urgent 2c 4g 0a x1 | nothing |

  Scenario Outline: Urgent work starts within 9.2 s on a full pool with calls of <delay> s
    Given 4 workers full of less urgent tasks and calls that take <delay> s
    When an urgent job of 4 tasks is published
    Then all its tasks run within 9.2 s

    Examples:
      | delay |
      | 0.001 |
      | 0.2   |

  Scenario Outline: Under <faults> % faults and a lost worker no task runs twice
    Given jobs of every class, one guarded, on 6 workers and two entries
    When urgent work arrives and a worker is withdrawn with faults at <faults> % of the calls
    Then every task but batch runs once in the end, and some batch work was preempted
    And no task was started while it ran
    And no guarded task was checkpointed or stopped

    Examples:
      | faults |
      | 0      |
      | 3      |
      | 10     |

  Scenario Outline: <workers> bad workers and <jobs> bad jobs are told apart
    Given 10 jobs that run for 3 s each again and again on 8 workers
    And <workers> workers that fail everything and <jobs> jobs that fail everywhere
    When they run for 120 s
    Then exactly those workers are quarantined and exactly those jobs are stopped

    Examples:
      | workers | jobs |
      | 0       | 0    |
      | 1       | 0    |
      | 4       | 0    |
      | 0       | 1    |
      | 0       | 5    |
      | 2       | 2    |

  Scenario Outline: A worker with <successes> successes is <judged> after <failures> jobs failed there
    Given jobs that each succeeded at another worker
    When <failures> of them fail at a worker that had <successes> successes
    Then that worker is <judged>

    Examples:
      | successes | failures | judged          |
      | 0         | 1        | not quarantined |
      | 0         | 2        | quarantined     |
      | 1         | 2        | not quarantined |
      | 1         | 3        | quarantined     |

  Scenario: The tasks of a removed job are stopped in one transaction
    Given a job of 40 small tasks that run on 6 workers
    When the job is removed from the declarations
    Then all its tasks are written as stopping in one transaction and end

  Scenario Outline: Sizes are learned where a job declares <declared> cores and uses <used>
    Given a job of 8 tasks that declares <declared> cores and uses <used> on 2 workers of 8 cores
    When it has run for 30 s
    Then <running> of its tasks run

    Examples:
      | declared | used | running |
      | 4        | 1    | 8       |
      | 8        | 3.4  | 4       |

  Scenario: A worker with guarded work is not drained before that ends
    Given a guarded task that runs for 20 s on the one worker that is due for maintenance
    When the entry runs for 40 s
    Then the worker was drained only after the task ended

  Scenario Outline: Two pools' holders never pass one team's quota with <faults> % faults
    Given jobs of one team in two pools that together want twice its quota of 4 cores
    When two entries place them with faults at <faults> % of their calls
    Then the team never used more than 4 cores, and used exactly 4 in the end

    Examples:
      | faults |
      | 0      |
      | 5      |
