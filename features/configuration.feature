Feature: A change of configuration is accepted whole or refused by field

  Scenario: An unknown label and shares that do not add up are both named
    Given an empty configuration
    When a selector with unknown labels and shares of 50 percent is checked
    Then the fields proxies, targets, shares_by_version are refused

  Scenario: A rollout mixes the old and the new version by its progress
    Given a configuration in which version v1 serves all of booking
    When version v2 is named for all of booking
    Then booking is served by v1 with 100 percent
    When the rollout of booking progresses to 50 permille in epoch 1
    Then booking is served by v1 with 95 percent and v2 with 5 percent

  Scenario: A step of an older epoch has no effect
    Given a configuration in which version v1 serves all of booking
    When version v2 is named for all of booking
    And epoch 2 of the rollout lease begins
    And the rollout of booking progresses to 50 permille in epoch 1
    Then booking is served by v1 with 100 percent
