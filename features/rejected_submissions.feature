Feature: A job that was rejected with 429 or 503 never runs

  Scenario: A job that is rejected as its transaction is answered doesn't run
    Given the platform's stand-in with 8 workers and 3 entries as processes
    And a store that is slow for jobs stored by their holder and refuses other jobs
    When 120 jobs a second are submitted over HTTP for 8 s, once each
    Then within 2 s no job runs whose tries were all rejected
