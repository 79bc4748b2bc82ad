Feature: A new version takes over by the agreed time or is rolled back

  Scenario Outline: A good version is done in time
    Given booking at <rate> requests a second, of which <percent> percent fail
    When v2 is agreed within <seconds> seconds
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking
    And v2 had more than 5 percent only after it was judged good
    And the reasons name the share and the evidence

    Examples:
      | rate | percent | seconds |
      | 500  | 0       | 60      |
      | 500  | 1       | 120     |
      | 200  | 3       | 300     |

  Scenario Outline: A bad version is rolled back soon after its failures
    Given booking at 1000 requests a second, of which 0.5 percent fail
    And v2 <fault>
    When v2 is agreed within 180 seconds
    And the agreed time passes
    Then the rollout is rolled back, because v2 was judged bad
    And v2 had no share 3 seconds after its tenth failure
    And v2 had more than 5 percent only after it was judged good

    Examples:
      | fault                                    |
      | fails 30 percent from the first request  |
      | fails 30 percent after 60 seconds        |
      | fails 30 percent after 125 seconds       |
      | fails 30 percent above a share of 15     |
      | fails 30 percent on /fees                |
      | is 4 times slower                        |
      | is 4 times slower on /fees               |

  Scenario: A failure in the observation after the last stage rolls back
    Given booking at 1000 requests a second, of which 0.5 percent fail
    And v2 fails 50 percent above a share of 95
    When v2 is agreed within 300 seconds
    And the agreed time passes
    Then the rollout is rolled back, because v2 was judged bad
    And v1 serves all of booking

  Scenario: A fault of both versions does not roll back a good one
    Given booking at 500 requests a second, of which 0.5 percent fail
    And both versions fail 30 percent from 20 to 50 seconds
    When v2 is agreed within 180 seconds
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking

  Scenario Outline: A small sample of the old version does not prove a fault of the new one
    Given an old version that served 2000 requests without a failure
    When in one second <new> of 20 requests of v2 fail, and <old> of <requests> of v1
    Then the judge finds v2 <finding>

    Examples:
      | new | old | requests | finding   |
      | 6   | 0   | 3        | undecided |
      | 6   | 0   | 60       | bad       |
      | 6   | 18  | 60       | undecided |

  Scenario: A common fault that begins with a larger share does not count against v2
    Given an old version that served 2000 requests without a failure
    When in one second 0 of 20 requests of v2 fail, and 0 of 380 of v1
    And in one second 30 of 100 requests of v2 fail, and 30 of 100 of v1
    Then the judge finds v2 undecided

  Scenario: Too little traffic to judge is a reason to roll back
    Given booking at 1 requests a second, of which 0 percent fail
    When v2 is agreed within 120 seconds
    And the agreed time passes
    Then the rollout is rolled back, because v2 was not judged good in time
    And v2 never had more than 5 percent

  Scenario: No traffic at all is a reason to roll back
    Given booking at 0 requests a second, of which 0 percent fail
    When v2 is agreed within 120 seconds
    And the agreed time passes
    Then the rollout is rolled back, because no requests of the new version were seen

  Scenario: Targets that come late are waited for
    Given booking at 500 requests a second, of which 0 percent fail
    And the targets of v2 come after 60 seconds
    When v2 is agreed within 180 seconds
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking

  Scenario: Targets that never come are a reason to roll back
    Given booking at 500 requests a second, of which 0 percent fail
    And the targets of v2 come after 1000 seconds
    When v2 is agreed within 120 seconds
    And the agreed time passes
    Then the rollout is rolled back, because no target of the new version is ready
    And v2 never had more than 0 percent

  Scenario: An agreed time that is too near is refused with the time needed
    Given booking at 500 requests a second, of which 0 percent fail
    When v2 is agreed within 10 seconds
    And the agreed time passes
    Then the rollout is rolled back, because a judged rollout needs 28 s

  Scenario: The next holder goes on when the holder is killed
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And the holder is killed after 50 seconds
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking
    And every step carries the epoch in force

  Scenario: The late step of a paused holder has no effect
    Given booking at 500 requests a second, of which 0.5 percent fail
    And v2 fails 50 percent after 100 seconds
    When v2 is agreed within 180 seconds
    And the holder is paused before its next write, until v2 is rolled back
    Then the rollout is rolled back, because v2 was judged bad
    And every change of the paused holder was written before the next epoch

  Scenario: A step that lands after the next epoch has no effect
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And the holder is paused before its next write, until the next one wrote its epoch
    Then the late write is in the log and changes nothing

  Scenario: A holder without the lease writes nothing
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 60 seconds
    And nobody holds the lease until the agreed time
    Then the log has no step

  Scenario: A lease that is lost during a round stops the next write
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 60 seconds
    And the lease is lost right after the epoch is written
    Then the log has no step

  Scenario: A holder whose epoch the log refuses goes on waiting
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And the log refuses the next step for its epoch
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking

  Scenario: An outage of the platform delays a rollout
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And the platform fails from 70 to 110 seconds
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking
    And the holder asked the platform at most 20 times in the outage

  Scenario: An outage past the agreed time ends in a rollback
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 60 seconds
    And the platform fails from 20 to 90 seconds
    And the rollout clock advances by 100 s
    Then the rollout is rolled back, because v2 was not judged good in time

  Scenario: A lost response to a step does not repeat it
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And every second response of the platform is lost
    And the agreed time passes
    Then the rollout is done, and v2 serves all of booking
    And no step stands twice in the log

  Scenario: An operator stops a rollout
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And an operator names v1 again after 60 seconds
    And the agreed time passes
    Then v1 serves all of booking
    And the log has no step after the operator's change

  Scenario: An operator's change wins the race against a step
    Given booking at 500 requests a second, of which 0.5 percent fail
    When v2 is agreed within 180 seconds
    And an operator names v1 again right before a step is written
    And the agreed time passes
    Then v1 serves all of booking

  Scenario: Snapshots are written every 64 changes
    Given booking at 500 requests a second, of which 0.5 percent fail
    When operators write 200 changes in 100 seconds
    Then 3 snapshots were written, and the log was trimmed after each

  Scenario: Generated histories keep the rules of a rollout
    Then in generated histories of faults, every rollout ends by the rules
