Feature: Separate processes keep the promises under failure

  Each scenario starts a platform, daemons in failure domains and targets as
  processes, lets callers send requests, and drives a fault. The checks count
  answers, target logs, the change log and time lines; none measures a tight
  time.

  Scenario: A killed daemon loses no answer of others and runs nothing twice
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When the daemon a-1 is killed and started again
    And 300 more requests have ended
    Then the callers' promises hold
    And every answer of the other proxies is a whole one or a true refusal
    And every daemon is on the newest version

  Scenario: A whole domain dies and returns at once
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When all daemons of domain b are killed
    And an operator sets the label extra
    And all daemons of domain b are started again
    Then every daemon is on the newest version
    And 200 more requests have ended
    And the callers' promises hold

  Scenario: A rollout survives the death of its lease holder
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When version v2 of booking is named with 34 seconds to the agreed time
    And the rollout of booking has reached 1 percent
    And the holder of the rollout lease is killed
    Then the rollout of booking ends as done
    And the log has steps of 2 epochs, none stale
    And the callers' promises hold

  Scenario: A holder that is frozen past its lease acts no more
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When version v2 of booking is named with 40 seconds to the agreed time
    And the rollout of booking has reached 1 percent
    And the holder of the rollout lease is frozen until another holds it
    Then the rollout of booking ends as done
    And the log has steps of 2 epochs, none stale
    And the configuration version never fell on any daemon

  Scenario: An outage of the platform stops changes but no request
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When the platform has an outage
    Then an operator's change is refused as unavailable
    And 300 more requests have ended
    When the platform answers again
    Then an operator's change is accepted
    And every daemon is on the newest version
    And no request was refused or unknown
    And the callers' promises hold

  Scenario: A lost answer is read back and the change is written once
    Given a system of 1 failure domains with 2 daemons each
    When the answers of the next 2 writes of every daemon are lost
    And an operator sets the label extra
    Then the log has the label extra once

  Scenario: A domain that is cut from the platform gets changes from another
    Given a system of 2 failure domains with 2 daemons each
    When domain b is cut from the platform
    And an operator sets the label extra
    Then every daemon is on the newest version

  Scenario: Racing operators get one winner for each object
    Given a system of 1 failure domains with 2 daemons each
    When 2 operators change the selector booking 10 times from the same version
    Then each race has one winner and the loser is told the winning version
    And every daemon is on the newest version

  Scenario: A leaving target finishes its work and gets no new one
    Given a system of 1 failure domains with 2 daemons each
    And callers send slow requests to every proxy
    When the target booking-v1-a-1 is asked to stop
    Then it ends by itself
    And 100 more requests have ended
    And no request was refused or unknown
    And the callers' promises hold

  Scenario: A planned stop of a daemon cuts no request in flight
    Given a system of 1 failure domains with 2 daemons each
    And callers send slow requests to every proxy
    When the daemon a-1 is asked to stop
    Then it ends by itself with exit code 0
    And no request has an unknown outcome
    And the callers' promises hold

  Scenario: The administration API without the token changes nothing
    Given a system of 1 failure domains with 1 daemons each
    When a label is sent without the token
    Then the answer is 401 and the log has no new entry
