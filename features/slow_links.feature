Feature: Reads end over slow links, however large the answer

  Background:
    Given the platform's stand-in
    And the store's answers to small calls are known to be quick

  Scenario: A row that takes longer than the time limit to arrive is still read
    Given a row of 600 KB
    And a link of 1000 KB a second
    Then the row is read whole

  Scenario: The first read of a large configuration ends, and so does the one after a lost history
    Given a configuration of 600 KB
    And a link of 1000 KB a second
    Then the configuration is in force within 2 s
    When the store forgets its history and the configuration changes
    Then the newest configuration is in force within 2 s

  Scenario: An entry that missed many versions of a large configuration gets the newest one
    Given a configuration of 300 KB
    And an entry that follows it
    When the entry is cut off while 12 versions are written
    And a link of 1000 KB a second
    Then the newest configuration is in force within 2 s

  Scenario: Versions that come faster than the link carries them do not put an entry further behind
    Given a configuration of 300 KB
    And an entry that follows it
    And a link of 1000 KB a second
    When a version is written each 0.1 s for 4 s
    Then the newest configuration is in force within 2 s

  Scenario: An answer that stops in its middle is given up
    Given a row of 600 KB
    And a link that stops after 200 KB
    Then a read of the row ends with TableUnavailable within 1 s

  Scenario: A transaction that takes longer than the time limit to send is done
    Given a link that takes 500 KB a second
    Then a commit of 400 KB is done

  Scenario: A service whose rows take longer than the time limit to arrive is loaded
    Given 4 stored jobs of 200 KB each
    And a link of 500 KB a second
    Then the service is loaded within 4 s

  Scenario: An object of the own table that takes longer than the time limit to arrive is read
    Given the own table behind a link of 500 KB a second
    Then an object of 400 KB is read with a time limit of 0.4 s
