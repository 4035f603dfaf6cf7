Feature: A watch of a table misses no change
  The rows of a table are listed by partition and read page by page, so that what is read is of
  several moments; changes are watched from a version that is older than all of them.

  # A job that was answered 200 never started: its notice was stored between the list of the
  # partitions and their rows (review/16).
  Scenario Outline: A job that is stored while the inbox is read anew, <held>, never starts
    Given the platform's stand-in with 4 workers and 1 entries as processes
    When the store drops the history of the inbox, and another entry stores a job while <held>
    Then within 5 s its state is succeeded at the entry

    Examples:
      | held                                                                  |
      | the list of partitions is on its way                                  |
      | the list of partitions is on its way, and another service has notices |
      | the first rows are on their way                                       |

  # The same for a cancellation: the job would run on.
  Scenario Outline: A job whose cancellation is stored while the inbox is read anew, <held>, runs on
    Given the platform's stand-in with 4 workers and 1 entries as processes
    When a job runs
    And the store drops the history of the inbox, and another entry cancels it while <held>
    Then within 5 s its runs have ended

    Examples:
      | held                                                                  |
      | the list of partitions is on its way                                  |
      | the list of partitions is on its way, and another service has notices |
      | the first rows are on their way                                       |

  Scenario: A change is missed as rows and partitions are written while they are read
    Given the platform's stand-in
    Then in 150 random orders, a watch that begins while rows are written ends with the rows stored

  Scenario: A change is missed as the history is dropped while rows are written
    Given the platform's stand-in
    Then in 150 random orders, a watch whose history is dropped 3 times ends with the rows stored

  Scenario: The first row of an empty table is missed
    Given the platform's stand-in without workers
    When a watch has read the present rows, and the first row of all is written
    Then the watch returns this row

  Scenario Outline: A loss of history costs more calls than are needed, with notices of <parts>
    Given the platform's stand-in
    When rows are stored in <parts> partitions, and the history is dropped
    Then the present rows are read in <calls> calls

    Examples:
      | parts | calls |
      | 0     | 2     |
      | 1     | 3     |
      | 2     | 4     |
