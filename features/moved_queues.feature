Feature: A queue's jobs are found, and run once, whichever service the queue has
  A job runs at the service that its queue had when the job was accepted. Versions of the
  configuration remove a queue and add it for another service, and entries have different versions
  for a while.

  # GET was answered 410 for an accepted job, and its repeated submission ran beside it (review/17).
  Scenario Outline: An accepted job is unknown, or runs twice, after its queue <moves>
    Given 3 entries, two services and a queue of the first
    When a job is accepted
    And then its queue <moves>
    Then each entry tells callers of the job
    And the same submission is accepted by each entry
    And the job's tasks have run once

    Examples:
      | moves                                                         |
      | moves to the other service                                    |
      | is removed, and added for the other service                   |
      | is removed, and added for the other service 0.01 s later      |
      | moves to the other service under another name                 |
      | moves there and back                                          |
      | moves to the other service, which one entry is not told of    |
      | moves, and all entries are killed and start again             |
      | moves, and the holder of the first service is killed          |
      | moves, and the holder of the other service is killed          |

  # A state that its holder knows was read from the table first (found by a soak, at a slow store).
  Scenario: A job at the former service of its queue can't be shown while the table is away
    Given 3 entries, two services and a queue of the first
    When a job is accepted
    And then its queue moves to the other service
    Then each entry tells callers of the job
    When the table is away
    Then each entry tells callers of the job

  # The cancellation was answered 410 and the job ran on.
  Scenario Outline: A job that is cancelled after its queue <moves> runs on
    Given 3 entries, two services and a queue of the first
    When a job that lasts is accepted
    And then its queue <moves>
    And it is cancelled at another entry
    Then the job is cancelled, and nothing of it runs

    Examples:
      | moves                                                |
      | moves to the other service                           |
      | moves there and back                                 |
      | moves, and the holder of the first service is killed |

  Scenario: Jobs that wait at the former service of their queue are missing from the pending count
    Given 3 entries, two services and a queue of the first
    When 4 jobs wait for room
    And then its queue moves to the other service
    Then each entry counts 4 pending jobs

  Scenario Outline: The pending jobs of a queue that <moves> can't be counted
    Given 3 entries, two services and a queue of the first
    When 4 jobs wait for room
    And then its queue <moves>
    Then each entry counts <count> pending jobs

    Examples:
      | moves                                                          | count |
      | moves to the other service under another name                  | 4     |
      | moves, and its first service isn't declared once its jobs end  | 0     |

  Scenario: Jobs that wait at the former service of their queue run at both
    Given 3 entries, two services and a queue of the first
    When 4 jobs wait for room
    And then its queue moves to the other service
    And all of them are submitted once more
    Then all of them succeed, and their tasks have run once

  # The first try had no answer; its repetition was stored at the other service.
  Scenario Outline: A job runs twice as its first try gets no answer <how>, and its queue moves
    Given 3 entries, two services and a queue of the first
    When a job's first try at <where> gets no answer and is carried out <how>
    And then its queue moves to the other service
    And the job is submitted until it is accepted
    Then the job's tasks have run once

    Examples:
      | where               | how                             |
      | the holder          | at once                         |
      | the holder          | 0.3 s later                     |
      | the holder          | 3 s later                       |
      | the holder          | 3 s later, and its entry ends   |
      | the holder          | at once, and its entry ends     |
      | an entry by itself  | at once                         |
      | an entry by itself  | 3 s later                       |

  # An entry that has missed the version served the queue for the former service.
  Scenario Outline: A new job runs at the former service, or nowhere, at an entry with old routes
    Given 3 entries, two services and a queue of the first
    When its queue moves to the other service, which one entry is not told of
    And a new job is submitted at the entry that was not told<after>
    Then the entry answers configuration-stale
    And the same job runs once when it is submitted at another entry

    Examples:
      | after                              |
      |                                    |
      | , while no holder can be reached   |

  # An accepted job stood still until its queue was declared again (review/12).
  Scenario Outline: Accepted work stands still after its queue is removed, and <then>
    Given 3 entries and a service whose jobs last
    When the queue is removed, and <then>
    Then its tasks run 15 s later

    Examples:
      | then                                                                       |
      | nothing else happens                                                       |
      | a worker crashes                                                           |
      | the holder of its service is killed                                        |
      | the holder of its service is stopped                                       |
      | all entries are killed and start again                                     |
      | then all entries are killed, as its service isn't declared either          |
      | the holder is killed, as its service isn't declared either                 |
      | the holder is stopped, as its service isn't declared either                |

  Scenario: The hosts of a service without queues never get their upkeep
    Given 3 entries and a service whose jobs last
    When the queue is removed, and the holder of its service is killed
    And a wave requests the upkeep of all hosts within 30 s, 1 at once
    Then within 40 s the wave is reported as done

  # 503 said that a job never runs that another service may have.
  Scenario: A job is rejected though the services of its queue, which moved, can't be read
    Given a queue that a newer configuration has given to another service
    When an entry with the older one admits a job, and can't read which services there are
    Then it isn't known whether another service has the job

  # Rows without an admission, and leases without the word on starts that were left.
  Scenario: A job that a former release stored is unknown, or runs twice, after its queue moves
    Given 3 entries that start with a job and a lease of a former release
    When its queue moves to the other service
    Then each entry tells callers of the job
    And the same submission is accepted by each entry
    And the job's tasks have run once

  Scenario: Two services admit one queue's jobs in some order of changes
    Then in 200 random orders of 5 versions at 4 entries, one service at most admits new jobs
    And a job that the entries submit is stored at one service

  Scenario: A queue that stays where it is costs more than its first reads
    Given 3 entries, two services and a queue of the first
    When 20 jobs are accepted at each entry
    Then the admission of the queue was written 2 times
