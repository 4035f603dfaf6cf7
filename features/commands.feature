Feature: Operator commands with their exit codes and JSON output

  Background:
    Given entries "e0 e1 e2" whose operator ports require the token "s3cret"

  Scenario: A declaration set is checked, published, compared and shown in the history
    When the command "check costa_viva" is run
    Then it exits with 0 and prints "no fault"
    When the command "publish costa_viva --operator ana --wait" is run
    Then it exits with 0 and prints "version 1: 3 of 3 entries"
    When the command "diff costa_viva" is run
    Then it exits with 0 and prints "no difference from version 1"
    When the command "diff dorna" is run
    Then it exits with 8 and prints "services.payouts"
    When the command "publish dorna --operator bo --expect 1 --wait" is run
    Then it exits with 0 and prints "version 2 is accepted"
    When the command "publish costa_viva --operator cy --expect 1" is run
    Then it exits with 3 and prints "accepted meanwhile: 2"
    And it also prints "bo"
    When the command "history" is run
    Then it exits with 0 and prints "ana"
    When the command "status" is run
    Then it exits with 0 and prints "version 2 by bo"
    When the command "entries --json" is run
    Then it exits with 0 and its JSON has "entries"
    When the command "explain services.desk-a" is run
    Then it exits with 0 and prints "version 2 by 'bo' came into force"
    When the command "explain worker-7" is run
    Then it exits with 0 and prints "drain: maintenance is due"
    When the command "explain services.desk-z" is run
    Then it exits with 9 and prints "no decision"

  Scenario: A publish that is repeated with its id takes effect once, also at another entry
    When the command "publish dorna --publish-id p1" is run
    And the command "publish costa_viva" is run
    And the command "publish dorna --publish-id p1 --json" is run at "e2"
    Then it exits with 0 and its JSON has version 1

  Scenario: An invalid set changes nothing, and all its faults are shown
    When an invalid set is published
    Then it exits with 2 and prints "pools.x.wanted_workers"
    And it also prints "pools.x.worker_cores"
    And the table holds no version

  Scenario Outline: Each kind of failure has its own exit code
    When the command "<command>" is run with "<condition>"
    Then it exits with <code> and prints "<text>"

    Examples:
      | command        | condition    | code | text                      |
      | status         | wrong token  | 4    | a bearer token is needed  |
      | status         | no token     | 4    | a bearer token is needed  |
      | publish dorna  | wrong token  | 4    | a bearer token is needed  |
      | publish dorna  | table down   | 5    | repeat with --publish-id  |
      | status         | dead entries | 6    | no answer from            |
      | status         | one dead     | 0    | seen from e0              |
      | check nowhere  | nothing      | 2    | does not exist            |
      | check dorna    | no entry     | 0    | no fault in the set alone |
      | version        | nothing      | 0    | 0.1.0                     |
      | version --json | nothing      | 0    | "version"                 |

  Scenario: A publish that one entry can't settle is said by the next entry not to have run
    Given the table goes down as it accepts a publish of "e0"
    When the command "publish dorna --json" is run
    Then it exits with 5 and its JSON has the outcome "unknown"

  Scenario: The id of a publish that got no answer is not shown, and its repetition conflicts with it
    Given "e0" ends as a publish of it is accepted
    When the command "publish dorna" is run at "e0"
    Then it exits with 6 and prints "repeat with --publish-id"

  Scenario: A publish that was accepted is refused on its repetition, as its budget would be broken by now
    When the command "publish dorna" is run
    And a publish "p2" raises the budget of "orders"
    And the command "publish dorna" is run
    And all minions of "orders" leave
    And a publish "p2" raises the budget of "orders"
    Then it exits with 0 and its JSON has version 2

  Scenario: A publish that waits names the entry that does not confirm it
    When the command "publish dorna" is run
    And the entry "e2" is cut off from the others and the table
    And the command "publish costa_viva --wait" is run
    Then it exits with 7 and prints "is not confirmed by e2"

  Scenario: An accepted publish is said to have reached no entry, as none is left to confirm it
    Given "e0" ends 0.5 s after it accepts a publish, and "e2" is cut off
    When the command "publish dorna --wait" is run at "e0"
    Then it exits with 7 and prints "version 1 is not confirmed"

  Scenario: Read commands work during a table outage and show the age of their data
    When the command "publish dorna --operator ana --wait" is run
    And the table is down for the commands
    And the command "status" is run
    Then it exits with 0 and prints "s old"
    When the command "history" is run
    Then it exits with 0 and prints "from memory"
    And it also prints "ana"
    When the command "diff dorna" is run
    Then it exits with 0 and prints "no difference from version 1"

  Scenario: No log line and no output contains the token
    When the command "publish dorna --wait" is run
    And the command "status" is run with "wrong token"
    Then the token is in no log line and no output

  Scenario: Decisions are kept per subject, within bounds on subjects and decisions
    Given a decision log for 3 subjects
    When 40 decisions are recorded on each of 5 subjects
    Then only the last 16 on each of the last 3 subjects are kept, the newest first
