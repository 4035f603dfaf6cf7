Feature: Logging never blocks the daemon, and dropped lines are counted

  Scenario: With a full pipe whole lines are dropped and counted, and no write blocks
    Given logging to a pipe that nobody reads
    When 5000 lines of up to 6000 bytes are written
    Then the writes took less than 2 s
    When the pipe is read while 100 more lines are written
    Then every line read is complete
    And the lines read and those reported as lost add up to all lines

  Scenario: A closed pipe does not stop the daemon
    Given logging to a pipe that nobody reads
    When the reader closes the pipe and 10 lines are written
    Then 10 lines are counted as lost
