Feature: A job that was rejected with 429 or 503 never runs

  Scenario: A job that is rejected as its transaction is answered doesn't run
    Given the platform's stand-in with 8 workers and 3 entries as processes
    And a store that is slow for jobs stored by their holder and refuses other jobs
    When 120 jobs a second are submitted over HTTP for 10 s, once each
    Then within 2 s no job runs whose tries were all rejected

  Scenario: A job whose tries were all rejected doesn't run, despite faults
    Given the platform's stand-in with 8 workers and 3 entries as processes
    When 80 jobs a second are submitted over HTTP for 6 s, with up to 3 tries each, while transactions and entries fail by chance
    Then within 15 s no job runs whose tries were all rejected

  Scenario: A job whose last try was rejected doesn't run, despite faults
    Given the platform's stand-in with 8 workers and 3 entries as processes
    When 80 jobs a second are submitted over HTTP for 6 s, with up to 3 tries each, while transactions and entries fail by chance
    Then within 15 s no job runs whose last try was rejected

  Scenario: A job whose last try was rejected doesn't run, though earlier tries were given up
    Given the platform's stand-in with 8 workers and 3 entries as processes
    When 60 jobs a second are submitted over HTTP for 8 s, with up to 3 tries each, by callers in a hurry while the store's answers are lost
    Then within 6 s no job runs whose last try was rejected

  Scenario: A job whose last try was rejected doesn't run, though the store failed for one entry alone
    Given the platform's stand-in with 8 workers and 3 entries as processes, each with its own link to the store
    When 60 jobs a second are submitted over HTTP for 8 s, with up to 3 tries each, while the slow store fails for one entry at a time
    Then within 6 s no job runs whose last try was rejected

  @soak
  Scenario: A job whose last try was rejected doesn't run, though its service had no holder
    Given the platform's stand-in with 8 workers and 3 entries as processes
    When 60 jobs a second are submitted over HTTP for 14 s, with up to 3 tries each, by callers in a hurry while the service has no holder
    Then within 8 s no job runs whose last try was rejected

  @soak
  Scenario: Jobs whose tries were all rejected don't run, in many loads with faults
    Then in 6 random loads of 20 s no job runs whose tries were all rejected

  @soak
  Scenario: Jobs whose last try was rejected don't run, in many loads with faults
    Then in 6 random loads of 20 s no job runs whose last try was rejected
