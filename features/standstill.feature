Feature: A task that is to last runs as soon as some worker has room for it

  Scenario: A task leaves a host that is asked for, and no other takes it for its spread
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    When host h1 is asked for 20 s
    Then no task that lasts waits for over 6 s beside room for it

  Scenario: A wave asks for a host that it can't clear again and again
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    When a wave of upkeep takes host h1, and the planner moves hosts, for 30 s
    Then at the end every task that lasts runs

  Scenario: A task waits for its spread beside hosts that are full of memory, and spare ones idle
    Given a pool of 3 hosts with 32 cores and 128 GB and 2 spare ones
    And a job of 8 tasks with 2 cores and 31 GB that last runs there, of which 1 may be away
    When a job of 6 tasks with 7.7 cores and 13 GB that last is taken in, of which 1 may be away
    And the planner moves hosts for 15 s
    Then at the end every task that lasts runs

  Scenario: A host under clearing counts as room, and spare ones idle
    Given a pool of 4 hosts with 32 cores and 128 GB and 3 spare ones
    And a job of 8 tasks with 2 cores and 31 GB that last runs there, of which 1 may be away
    And a job of 6 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    When a wave of upkeep takes host h3, and the planner moves hosts, for 20 s
    Then at the end every task that lasts runs

  Scenario: A task that lasts is passed over, as another step of its shape has its spread
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    And a job of 1 tasks with 7.7 cores and 13 GB that last runs there, of which 0 may be away
    When host h1 is asked for 30 s
    And the task of job 2 fails after 10 s
    Then 10 s later job 2 runs

  Scenario: A short task is passed over, as a step that lasts has its spread
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    When host h1 is asked for 30 s
    And a job of 1 tasks with 8 cores and 13 GB that take 1 s comes after 3 s
    Then 5 s later job 2 has ended

  Scenario: A host that is back from upkeep is closed still
    Given a pool of 3 hosts with 32 cores and 128 GB
    When host h2 is asked for, cleared and back as a later life after 2 s
    Then the scheduler gives it tasks once it answered

  Scenario: A task leaves a host that drains, and no other takes it for its spread
    Given a pool of 2 hosts with 32 cores and 128 GB
    And a job of 6 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    When host h0 drains for 20 s
    Then no task that lasts waits for over 6 s beside room for it

  Scenario: A start whose outcome is never told is waited for without end
    Given a pool of 3 hosts with 32 cores and 128 GB
    And the next start is dropped without a word
    When a job of 2 tasks with 7.7 cores and 13 GB that last is taken in, of which 1 may be away
    And 20 s pass
    Then at the end every task that lasts runs

  Scenario: A stop that was dropped without a word is never sent again
    Given a pool of 3 hosts with 32 cores and 128 GB
    And a job of 2 tasks with 7.7 cores and 13 GB that last runs there, of which 1 may be away
    And the next stop is dropped without a word
    When host h0 is asked for 20 s
    Then nothing runs at host h0
    And at the end every task that lasts runs

  Scenario: A start for a worker without a link is dropped without a word
    Given a holder's sending that has no link to a worker
    When it sends a start to this worker
    Then the scheduler is told that the start was not carried out

  Scenario: A stop for a worker without a link is dropped without a word
    Given a holder's sending that has no link to a worker
    When it sends a stop to this worker
    Then the scheduler may send the stop again

  Scenario: A run that was taken over is stopped as one that nobody wants
    Given a pool of 2 hosts with 32 cores and 128 GB
    And host h0 runs a task that is starting at host h1
    When the start at host h1 is refused and host h0 lists the run again
    Then for 5 s the run at host h0 is not stopped

  Scenario: A large task that lasts never finds room beside a steady flow of small ones
    Given a pool of 2 hosts with 32 cores and 128 GB
    And its cores are full of small tasks that keep coming
    When a job of 1 tasks with 7.7 cores and 13 GB that last is taken in, of which 0 may be away
    Then within 10 s it runs

  Scenario: A worker that is back in the list just as its link ends is left without a link
    Given an entry with one worker that is not listed for a while
    When it is listed again in the very moment in which its link ends
    And a task that lasts is submitted
    Then within 10 s the task runs there

  Scenario: A worker that is not listed for a moment is looked at by two links from then on
    Given an entry with one worker that is not listed for a while
    When it is listed again before its link's look ends
    Then for 5 s at most one look at it is under way at a time

  Scenario: Disturbed workers and late answers leave no task waiting
    Then after 60 random histories of kind "told" every task that lasts runs

  Scenario: Orders whose outcome is never told leave tasks waiting
    Then after 60 random histories of kind "untold" every task that lasts runs

  Scenario: Waves and other jobs that last leave tasks waiting
    Then after 30 random histories of kind "waves" every task that lasts runs

  @soak
  Scenario: Many histories of disturbed workers leave no task waiting
    Then after 1000 random histories of kind "told", made short, every task that lasts runs
