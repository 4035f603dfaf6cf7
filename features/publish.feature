Feature: A publish is accepted exactly once despite faults between any two steps

  Scenario Outline: A fault at a step is settled by the publish id, also after another publish
    Given 3 entries with version 1 in force
    When the fault "<fault>" occurs at "e0" in the step "<step>" of the publish "p"
    And another operator publishes at "e1"
    And the publish "p" is repeated at "e2"
    Then the publish "p" was accepted once
    And no entry used an older or an incomplete set

    Examples:
      | step             | fault         |
      | read head        | down          |
      | read head        | killed after  |
      | read published   | paused        |
      | commit intent    | down          |
      | commit intent    | lost          |
      | commit intent    | killed after  |
      | commit intent    | paused        |
      | put object       | down          |
      | put object       | lost          |
      | put object       | killed before |
      | put object       | killed after  |
      | put object       | paused        |
      | commit head      | down          |
      | commit head      | lost          |
      | commit head      | killed before |
      | commit head      | killed after  |
      | commit head      | paused        |

  Scenario: A publish whose answer is lost just before the table goes down is told that it did not run
    Given 3 entries with version 1 in force
    When the table goes down for "e0" as it accepts the publish "p"
    Then the outcome of the publish is unknown
    And the publish "p" is in force at version 2

  Scenario Outline: A publish that is repeated after <after> s, as "<step>" is <fault>, is told to conflict with its successor
    Given 3 entries with version 1 in force
    When the publish "p" takes effect at "e0" 1 s after its answer was lost, and another one at "e1" 0.2 s later
    And the publish "p", based on version 1, is repeated at "e2" after <after> s, and the fault "<fault>" occurs in the step "<step>"
    Then the publish "p" was accepted once
    And no entry used an older or an incomplete set

    Examples:
      | after | step           | fault |
      | 0     | read head      | slow  |
      | 2     | read published | stale |

  Scenario: Racing operators get one winner, and the others learn who, when and what
    Given 3 entries with version 1 in force
    When every entry publishes a different set at the same time, all based on version 1
    Then one publish was accepted and the others got a conflict that names it
    And the history of the version after 1 names the operator, the time and "services.s"

  Scenario: A publish id that was used for another set is refused
    Given 1 entries with version 1 in force
    When the publish "p" is made at "e0" with queue limit 70
    Then the publish "p" with queue limit 71 is refused as reused

  Scenario: Old sets and publishes that were given up are collected, running ones are not
    Given 2 entries with version 1 in force
    When the fault "killed after" occurs at "e0" in the step "put object" of the publish "p"
    And 70 sets are published and collected
    Then 65 objects and 1 intents are left
    When 2 hours pass and a paused collector runs during the repeat of "p"
    Then the set of the newest version is stored
    And no object is left without a version or an intent

  Scenario: A publish that pauses for hours before its transaction is fenced by the collector
    Given 2 entries with version 1 in force
    When the publish "p" pauses for hours at "e0" before its transaction and is collected
    Then it was refused and version 1 is in force
    And no object is left without a version or an intent

  Scenario: The history and the publish ids are bounded in the accepting transaction
    Given 2 entries with version 1 in force
    And room for 20 versions in the history
    When 30 sets are published and collected
    Then the history has versions 12 to 31 and as many publish ids
