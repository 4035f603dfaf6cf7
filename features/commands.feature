Feature: Operators work by commands with exit codes and JSON

  Background:
    Given entries "e0 e1 e2" with operators' ports behind the token "s3cret"

  Scenario: A set goes from check to history
    When "check costa_viva" is commanded
    Then it ends with 0 and says "no fault"
    When "publish costa_viva --operator ana --wait" is commanded
    Then it ends with 0 and says "version 1: 3 of 3 entries"
    When "diff costa_viva" is commanded
    Then it ends with 0 and says "no difference from version 1"
    When "diff dorna" is commanded
    Then it ends with 8 and says "services.payouts"
    When "publish dorna --operator bo --expect 1 --wait" is commanded
    Then it ends with 0 and says "version 2 is accepted"
    When "publish costa_viva --operator cy --expect 1" is commanded
    Then it ends with 3 and says "accepted meanwhile: 2"
    And it also says "bo"
    When "history" is commanded
    Then it ends with 0 and says "ana"
    When "status" is commanded
    Then it ends with 0 and says "version 2 by bo"
    When "entries --json" is commanded
    Then it ends with 0 and its JSON has "entries"
    When "explain services.desk-a" is commanded
    Then it ends with 0 and says "version 2 by 'bo' came into force"
    When "explain worker-7" is commanded
    Then it ends with 0 and says "drain: maintenance is due"
    When "explain services.desk-z" is commanded
    Then it ends with 9 and says "no decision"

  Scenario: A repeat with the publish id is the same publish, also at another entry
    When "publish dorna --publish-id p1" is commanded
    And "publish costa_viva" is commanded
    And "publish dorna --publish-id p1 --json" is commanded at "e2"
    Then it ends with 0 and its JSON has version 1

  Scenario: A faulty set changes nothing and all its faults are shown
    When a faulty set is published
    Then it ends with 2 and says "pools.x.wanted_workers"
    And it also says "pools.x.worker_cores"
    And no version is in the table

  Scenario Outline: What goes wrong has an exit code of its own
    When "<command>" is commanded with "<what>"
    Then it ends with <code> and says "<words>"

    Examples:
      | command        | what         | code | words                     |
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

  Scenario: An entry that does not confirm is named
    When "publish dorna" is commanded
    And the entry "e2" hears nothing more
    And "publish costa_viva --wait" is commanded
    Then it ends with 7 and says "is not confirmed by e2"

  Scenario: Reading commands work in a table outage and say how old what they show is
    When "publish dorna --operator ana --wait" is commanded
    And the table is down for the commands
    And "status" is commanded
    Then it ends with 0 and says "s old"
    When "history" is commanded
    Then it ends with 0 and says "from memory"
    And it also says "ana"
    When "diff dorna" is commanded
    Then it ends with 0 and says "no difference from version 1"

  Scenario: No log line and no answer shows the token
    When "publish dorna --wait" is commanded
    And "status" is commanded with "wrong token"
    Then the token is in no log line and no output

  Scenario: Decisions are kept by subject, and never more than the bounds
    Given room for decisions on 3 subjects
    When 40 decisions come on each of 5 subjects
    Then only the last 16 on each of the last 3 subjects are kept, the newest first
