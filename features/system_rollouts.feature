Feature: A rollout continues when its lease holder fails

  Each scenario starts a store, daemons in failure domains and targets as
  separate processes and causes a fault, often while callers send requests. The
  checks read the callers' results, the logs of the targets, the store and the
  time lines. No check depends on a tight time limit.

  Scenario: A rollout continues after its lease holder is killed
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When a rollout of booking to v2 is ordered with agreed_by in 34 seconds
    And the rollout of booking has reached 1 percent
    And the holder of the rollout lease is killed
    Then the rollout of booking ends as done
    And its steps belong to 2 epochs and none is stale
    And responses are correct, no POST ran twice and no refused request ran

  Scenario: A holder that was frozen past its lease writes no more steps
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When a rollout of booking to v2 is ordered with agreed_by in 40 seconds
    And the rollout of booking has reached 1 percent
    And the holder of the rollout lease is frozen until another daemon holds it
    Then the rollout of booking ends as done
    And its steps belong to 2 epochs and none is stale
    And the configuration version never decreased on any daemon
