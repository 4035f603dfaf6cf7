Feature: Real processes keep the promises through real signals

  Scenario Outline: The demo of each example keeps its promises while entries are killed and stopped
    When the tiny demo of "<example>" has run
    Then it found no broken promise and left no process behind

    Examples:
      | example    |
      | dorna      |
      | costa_viva |

  Scenario: Entries are paused past every timeout, cut from the platform and stopped
    Given a deployment of "dorna" with 3 entries and callers at work
    When the entry "entry-1" is paused for 5 s
    And the platform is down for 2 s
    And the entry "entry-0" gets SIGTERM
    Then the entry "entry-0" exits with 0
    And its callers were told the truth about every request
    And no process of the deployment is left

  Scenario: What starts processes ends them when it gets SIGTERM
    Given the bench "control" has started processes
    When it gets SIGTERM
    Then within 15 s it has ended, and all that it started too
