Feature: Outages, lost answers, cuts and races at the platform do no harm

  Each scenario starts a store, daemons in failure domains and targets as
  processes, lets callers send requests, and drives a fault. The checks count
  answers, target logs, the store and time lines; none measures a tight
  time.

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
    When the answers of the next 2 writes to the store are lost
    And an operator sets the label extra
    Then the store has written the label extra once

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
