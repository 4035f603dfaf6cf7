Feature: Reads over slow links complete, however large the answer

  Background:
    Given the platform's stand-in
    And the store has answered several small calls quickly

  Scenario: A row whose transfer exceeds the timeout is still read
    Given a row of 600 KB
    And a link of 1000 KB/s
    Then the row is read completely

  Scenario: A large configuration is read, at first and after the store lost its history
    Given a configuration of 600 KB
    And a link of 1000 KB/s
    Then the configuration is active within 2 s
    When the store forgets its history and the configuration changes
    Then the newest configuration is active within 2 s

  Scenario: An entry that missed many versions of a large configuration gets the newest one
    Given a configuration of 300 KB
    And an entry that follows it
    When the entry is disconnected while 12 versions are written
    And a link of 1000 KB/s
    Then the newest configuration is active within 2 s

  Scenario: Versions that are written faster than the link transfers them do not delay the newest one
    Given a configuration of 300 KB
    And an entry that follows it
    And a link of 1000 KB/s
    When a version is written each 0.1 s for 4 s
    Then the newest configuration is active within 2 s

  Scenario: A read whose answer stops midway ends with an error
    Given a row of 600 KB
    And a link that stops after 200 KB
    Then a read of the row ends with TableUnavailable within 1 s

  Scenario: A transaction whose upload exceeds the timeout succeeds
    Given a link that uploads 500 KB/s
    Then a commit of 400 KB succeeds

  Scenario: A service whose rows exceed the timeout in transfer is loaded
    Given 4 stored jobs of 200 KB each
    And a link of 500 KB/s
    Then the service is loaded within 4 s

  Scenario: An object whose transfer exceeds the timeout is read
    Given an object store behind a link of 500 KB/s
    Then an object of 400 KB is read with a time limit of 0.4 s
