Feature: A rollout goes on when its lease holder fails

  Each scenario starts a store, daemons in failure domains and targets as
  processes, lets callers send requests, and drives a fault. The checks count
  answers, target logs, the store and time lines; none measures a tight
  time.

  Scenario: A rollout survives the death of its lease holder
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When version v2 of booking is named with 34 seconds to the agreed time
    And the rollout of booking has reached 1 percent
    And the holder of the rollout lease is killed
    Then the rollout of booking ends as done
    And the steps are of 2 epochs, none stale
    And the callers' promises hold

  Scenario: A holder that is frozen past its lease acts no more
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When version v2 of booking is named with 40 seconds to the agreed time
    And the rollout of booking has reached 1 percent
    And the holder of the rollout lease is frozen until another holds it
    Then the rollout of booking ends as done
    And the steps are of 2 epochs, none stale
    And the configuration version never fell on any daemon
