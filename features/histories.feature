Feature: Random histories of requests, faults and publishes keep the promises

  Scenario: A bounded number of histories with the run's seed
    Then 30 random histories keep every promise

  @soak
  Scenario: Many histories
    Then 1000 random histories keep every promise
