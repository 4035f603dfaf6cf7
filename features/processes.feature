Feature: Deployments of real processes keep their guarantees under real signals

  Scenario Outline: The demo of each example keeps its guarantees while entries are killed and stopped
    When the tiny demo of "<example>" has run
    Then it reports no violated guarantee and leaves no process behind

    Examples:
      | example    |
      | dorna      |
      | costa_viva |

  Scenario: Entries are paused past every timeout, cut from the platform and stopped
    Given a deployment of "dorna" with 3 entries and active callers
    When the entry "entry-1" is paused for 5 s
    And the platform is down for 2 s
    And the entry "entry-0" gets SIGTERM
    Then the entry "entry-0" exits with 0
    And the outcome of every request matches the records of its minion
    And no process of the deployment is left

  Scenario: A benchmark ends the processes that it started when it gets SIGTERM
    Given the bench "control" has started processes
    When it gets SIGTERM
    Then within 15 s it and all of its descendants have ended
