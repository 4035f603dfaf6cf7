Feature: A worker has ended only if answers prove it
  Any program may write into the table of workers. A row says whom to call, and proves nothing of
  another worker.

  # The tasks of a live worker were released, and ran twice, as a row named its host (review/7).
  Scenario Outline: Tasks run twice as a row of another writer names the host of their live worker
    Given the platform's stand-in with 3 workers and 1 entries as processes
    When a job runs and another writer puts rows with the host of its worker <row>
    Then the job has succeeded, and each of its tasks was started once

    Examples:
      | row                                     |
      | under an id of its own                  |
      | that lack four fields                   |
      | under the id of the worker              |
      | under a new id each time                |

  # The same on a paused clock, with rows of more kinds.
  Scenario Outline: Tasks run twice beside rows that are whole
    Given 1 entries and 4 workers of one service
    And its tasks take 8 s
    When 4 jobs of 6 tasks come and another writer lists all busy workers <row> for <for> s
    Then within 30 s all of them are shown as succeeded
    And every task ran once
    And no task was counted as crashed

    Examples:
      | row                              | for  |
      | under another id                 | 6    |
      | under another id                 | 20   |
      | under their ids                  | 6    |
      | under their ids                  | 20   |
      | under their ids, once            | 0.1  |
      | under their ids as born then     | 6    |
      | under their ids at their address | 6    |
      | under their ids at another host  | 6    |
      | at the address of another worker | 6    |
      | under two ids in turn            | 6    |
      | under a new id each time         | 6    |
      | that come and go                 | 6    |

  # A row of a live worker in another service made the holder of that service stop its runs.
  Scenario Outline: Runs are stopped as a row lists their live worker in another service
    Given 2 entries and 4 workers of each of two services
    And its tasks take 8 s
    When 4 jobs of 6 tasks come and another writer lists all busy workers <row> for <for> s
    Then within 30 s all of them are shown as succeeded
    And every task ran once
    And no task was counted as crashed

    Examples:
      | row                                | for |
      | under their ids in another service | 0.1 |
      | under their ids in another service | 6   |

  # A holder that takes over sees the rows before it has heard from any worker.
  Scenario Outline: Tasks run twice as the holder ends beside rows of another writer
    Given 3 entries and 4 workers of one service
    And its tasks take 8 s
    When 4 jobs of 6 tasks come and another writer lists all busy workers <row> for 10 s
    And the holder is killed 1 s later
    Then within 40 s all of them are shown as succeeded
    And every task ran once
    And no task was counted as crashed

    Examples:
      | row                              |
      | under another id                 |
      | under their ids                  |
      | under their ids as born then     |
      | under their ids at their address |
      | under their ids at another host  |
      | under two ids in turn            |

  # A row that nobody answers for kept a new holder waiting.
  Scenario Outline: A holder waits for the leases of an earlier one as rows name workers that never answer
    When a holder takes over 4 workers beside <rows> rows that nobody answers for
    And all workers but <silent> have answered
    Then the holder <state> on the leases of the earlier one

    Examples:
      | rows | silent | state        |
      | 3    | 0      | doesn't wait |
      | 3    | 1      | waits        |
      | 0    | 0      | doesn't wait |

  Scenario Outline: A worker counts as ended without a proof, or lives on with one
    Given a worker that runs a task, and a row <row>
    When after the row appears "<events>"
    Then its worker counts as <state>
    And its task has <crashes> crashes

    Examples: no proof
      | row                       | events                                             | state    | crashes |
      | of its host               | the other one is silent                            | alive    | 0       |
      | of its host               | the other one is silent, it is silent              | alive    | 0       |
      | of its host               | it is silent, the other one is silent              | alive    | 0       |
      | of its host               | the other one answers                              | alive    | 0       |
      | of its host               | the other one answers, it answers                  | alive    | 0       |
      | of its host               | the other one answers, it answers, it is silent    | alive    | 0       |
      | of its host               | the other one answers as another life              | alive    | 0       |
      | of its host               | the other one answers as another life, it is silent | alive    | 0       |
      | of another host           | the other one answers, it is silent                | alive    | 0       |
      | of its id at its address  | it answers                                         | alive    | 0       |
      | of its id at its address  | it is silent                                       | alive    | 0       |
      | of its id                 | the other one is silent, it is silent              | alive    | 0       |
      | of its id and life        | it is silent                                       | alive    | 0       |

    Examples: a proof
      | row                       | events                                                    | state    | crashes |
      | of its host               | it is silent, the other one answers                       | ended | 1 |
      | of its host               | the other one answers, it is silent                       | ended | 1 |
      | of its host               | the other one answers, it answers, it is silent, the other one answers | ended | 1 |
      | of its id                 | it is silent, the other one answers                       | ended | 1 |
      | of its id at its address  | it answers as the other one                               | ended | 1 |
      | of its host born before   | it is silent, the other one answers                       | ended | 1 |

  # Two crashes that each counted twice made a storm, in which a crashing task gets one more start.
  Scenario Outline: The crash of a worker counts twice
    Given a worker that runs a task, and a row of its host
    When after the row appears "<events>"
    Then one crash of a worker is noted

    Examples:
      | events                                       |
      | it is silent, the other one answers          |
      | the other one answers, it is silent          |
      | it is silent for long, the other one answers |

  Scenario Outline: Hosts of another writer count as room, or hide the load of a host
    Given a worker that runs a task, and a row <row>
    When after the row appears "<events>"
    Then the demand lists <hosts> hosts, of which the one of the worker has load

    Examples:
      | row             | events                  | hosts |
      | of its host     | the other one is silent | 1     |
      | of its host     | the other one answers   | 1     |
      | of another host | the other one is silent | 2     |

  Scenario: A host under evacuation gets tasks as a row names it
    Given a worker that runs a task, and a row of its host
    When its host is evacuated, and the row appears
    Then the host stays closed

  # 300 rows that nobody answers for.
  Scenario: Calls to workers that never answered add up with their number
    Given 1 entries and 4 workers of one service
    And another writer lists 300 hosts that nobody answers for
    When 20 s pass with the rows
    Then each got a call, and together no more than 30 more a second

  # What a proof costs: the answer of the later worker, once it is listed.
  Scenario Outline: Tasks of a worker that started again wait for its lease
    Given 1 entries and 4 workers of one service
    And its tasks take 20 s
    And a worker that restarts is back <under>
    When 4 jobs of 6 tasks come and a busy worker starts again
    Then its tasks run again within 1 s

    Examples:
      | under            |
      | under another id |
      | under its id     |
