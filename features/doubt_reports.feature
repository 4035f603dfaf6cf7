Feature: Other entries are told which submissions are in doubt
  Reports arrive before the callers' retries, and cost little where many submissions are in doubt.

  Scenario: Each service's doubts take a call of their own to each entry
    Given an entry that reports its doubts to 7 others
    When 60 jobs of 6 services are in doubt at once
    Then each other entry gets 1 call, with all the jobs
    And no report took more than 0.05 s

  Scenario: Each report waits for an entry that doesn't answer
    Given an entry that reports its doubts to 3 others, one of which doesn't answer
    When 5 jobs are in doubt, one after the other
    Then only the first report took more than 0.05 s
    And each other entry got 5 calls, with all the jobs

  Scenario: A report doesn't wait for an entry that answers again
    Given an entry that reports its doubts to 3 others, one of which doesn't answer
    When 2 jobs are in doubt, one after the other
    And the entry answers again, and 0.2 s later 2 jobs are in doubt, 0.2 s apart
    Then the last report ended after all entries had confirmed it

  Scenario: A report ends with the calls of the one before it
    Given an entry that reports its doubts to 3 others
    When a job is in doubt while the report of another one is under way
    Then each report ended after all entries had confirmed its job

  Scenario Outline: An entry that rejects jobs <holder> holder calls <count> others for each of them
    Given an entry that follows the doubts of <count> others
    When it rejects 100 jobs a second for 10 s, <holder> holder
    Then it made at most <most> calls a second after the first lists
    And it knew all doubts at each rejection
    And no report took more than <most_s> s

    Examples: numbers of other entries
      | holder    | count | most | most_s |
      | with a    | 6     | 12   | 0.05   |
      | with a    | 96    | 32   | 0.05   |
      | without a | 6     | 112  | 0.2    |
      | without a | 96    | 352  | 0.7    |

  Scenario: An entry that knows no others, as it could not read the table since its start, takes that for all doubts
    Given an entry that follows the doubts of 0 others
    And it could not read the table's rows since its start 10 s ago
    When it rejects 1 jobs a second for 2 s, without a holder
    Then it didn't know all doubts at any rejection
