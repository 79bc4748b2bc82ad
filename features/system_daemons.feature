Feature: Daemons, domains and targets that fail or leave keep the promises

  Each scenario starts a store, daemons in failure domains and targets as
  processes, lets callers send requests, and drives a fault. The checks count
  answers, target logs, the store and time lines; none measures a tight
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
    Then the answer is 401 and nothing is written
