Feature: Recorded logs become a page with plots

  Scenario: A recorded day becomes one page that stands by itself
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their logs are kept
    When its tasks take 0.3 s
    And 12 jobs that fill a worker each are asked for
    And all of them have succeeded
    And the logs are recorded with the name of a host before each line, and a report is made
    Then the page has a plot of each of these, and loads nothing from elsewhere
      | plot                     |
      | Demand: work that runs   |
      | Waiting work             |
      | Capacity: hosts by pool  |
      | Wait for a start         |
      | Jobs that ended          |
    And it says that 1 line could not be read

  Scenario: A file without log lines gives a clear error and no page
    When a report is made of a file without log lines
    Then it says so and ends with 1
