Feature: Random histories of requests, faults and publishes violate no guarantee

  Scenario: A small number of histories with the seed of the run
    Then 30 random histories violate no guarantee

  @soak
  Scenario: A large number of histories
    Then 1000 random histories violate no guarantee
