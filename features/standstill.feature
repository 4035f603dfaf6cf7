Feature: Long-running tasks run as soon as some worker has room for them

  Scenario: A task evicted from a host isn't kept from the others by the spread of its step
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    When host h1 is to be evacuated for 20 s
    Then no long-running task waits for over 6 s while a worker has room for it

  Scenario: A maintenance wave that keeps failing to evacuate a host leaves no task waiting
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    When a maintenance wave takes host h1, and the planner moves hosts, for 30 s
    Then at the end every long-running task runs

  Scenario: Spare hosts are added for a task kept waiting by its spread and by hosts without free memory
    Given a pool of 3 hosts with 32 cores and 128 GB and 2 spare ones
    And a job of 8 long-running tasks with 2 cores and 31 GB runs there, of which 1 may be unavailable
    When a job of 6 long-running tasks with 7.7 cores and 13 GB is submitted, of which 1 may be unavailable
    And the planner moves hosts for 15 s
    Then at the end every long-running task runs

  Scenario: A host under evacuation doesn't count as room, so spare hosts are added
    Given a pool of 4 hosts with 32 cores and 128 GB and 3 spare ones
    And a job of 8 long-running tasks with 2 cores and 31 GB runs there, of which 1 may be unavailable
    And a job of 6 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    When a maintenance wave takes host h3, and the planner moves hosts, for 20 s
    Then at the end every long-running task runs

  Scenario: A long-running task isn't skipped when another step of its shape has reached its spread
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    And a job of 1 long-running tasks with 7.7 cores and 13 GB runs there, of which 0 may be unavailable
    When host h1 is to be evacuated for 30 s
    And the task of job 2 fails after 10 s
    Then 10 s later job 2 runs

  Scenario: A short task isn't skipped when a long-running step has reached its spread
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    When host h1 is to be evacuated for 30 s
    And a job of 1 tasks with 8 cores and 13 GB that take 1 s is submitted after 3 s
    Then 5 s later job 2 has ended

  Scenario: A host that is back from maintenance is open to tasks
    Given a pool of 3 hosts with 32 cores and 128 GB
    When host h2 is evacuated and its worker restarts after 2 s
    Then the scheduler may give it tasks once its worker has reported

  Scenario: A task evicted from a draining host isn't kept from the others by the spread of its step
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    When host h0 drains for 20 s
    Then no long-running task waits for over 6 s while a worker has room for it

  Scenario: A start whose outcome is never reported doesn't block its task
    Given a pool of 3 hosts with 32 cores and 128 GB
    And the next start is lost and its outcome never reported
    When a job of 2 long-running tasks with 7.7 cores and 13 GB is submitted, of which 1 may be unavailable
    And 20 s pass
    Then at the end every long-running task runs

  Scenario: A stop whose outcome is never reported is sent again
    Given a pool of 3 hosts with 32 cores and 128 GB
    And a job of 2 long-running tasks with 7.7 cores and 13 GB runs there, of which 1 may be unavailable
    And the next stop is lost and its outcome never reported
    When host h0 is to be evacuated for 20 s
    Then nothing runs at host h0
    And at the end every long-running task runs

  Scenario: A start for a worker without a link is reported as not executed
    Given a holder without a link to its worker
    When it sends a start to this worker
    Then the scheduler learns that the start was not executed

  Scenario: A stop for a worker without a link may be sent again
    Given a holder without a link to its worker
    When it sends a stop to this worker
    Then the scheduler may send the stop again

  Scenario: A run that the scheduler adopts isn't stopped as an unknown one
    Given a pool of 2 hosts with 32 cores and 128 GB
    And host h0 runs a task that is being started at host h1
    When the start at host h1 is refused and host h0 reports the run again
    Then for 5 s the run at host h0 is not stopped

  Scenario: A large task that lasts never finds room beside a steady flow of small ones
    Given a pool of 2 hosts with 32 cores and 128 GB
    And small tasks keep arriving and fill its cores
    When a job of 1 long-running tasks with 7.7 cores and 13 GB is submitted, of which 0 may be unavailable
    Then within 10 s it runs

  Scenario: A worker that is listed again just as its link ends gets a new link
    Given an entry with one worker that is unlisted for a while
    When it is listed again at the moment when its link ends
    And a long-running task is submitted
    Then within 10 s the task runs there

  Scenario: A worker that is unlisted for a moment isn't polled by two links
    Given an entry with one worker that is unlisted for a while
    When it is listed again before the poll of its link ends
    Then for 5 s at most one poll of it is in progress at a time

  Scenario: Worker faults and late answers leave no task waiting
    Then after 60 random histories of kind "reported" every long-running task runs

  Scenario: Orders whose outcome is never reported leave no task waiting
    Then after 60 random histories of kind "unreported" every long-running task runs

  Scenario: Maintenance waves and further long-running jobs leave no task waiting
    Then after 30 random histories of kind "waves" every long-running task runs

  @soak
  Scenario: Many histories of worker faults leave no task waiting
    Then after 1000 random histories of kind "reported", shrunk on failure, every long-running task runs
