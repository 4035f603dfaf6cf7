Feature: A report page with plots is built from recorded logs

  Scenario: A recorded day becomes one page that stands by itself
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    When its tasks take 0.3 s
    And 12 jobs that each fill a worker are submitted
    And all of them have succeeded
    And the logs are recorded with a host name before each line, and a report is built
    Then the page has each of these plots and loads no external resources
      | plot                     |
      | Demand: work that runs   |
      | Waiting work             |
      | Capacity: hosts by pool  |
      | Wait for a start         |
      | Jobs that ended          |
    And it reports 1 unreadable line

  Scenario: A file without log lines gives an error and no page
    When a report is built from a file without log lines
    Then the command reports that and exits with 1
