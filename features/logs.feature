Feature: Log lines never hold the daemon up, and what is lost is counted

  Scenario: A full pipe loses whole lines, which are counted, and nothing waits
    Given logs that go to a pipe that nobody reads
    When 5000 lines of up to 6000 bytes are written
    Then that took less than 2 s
    When the pipe is read while 100 more lines are written
    Then every line that was read is whole
    And the lines that were read and those said to be lost are all lines

  Scenario: A closed pipe does not end the daemon
    Given logs that go to a pipe that nobody reads
    When the reader of the pipe goes away and 10 lines are written
    Then 10 lines are counted as lost
