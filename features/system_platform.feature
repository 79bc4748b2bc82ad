Feature: Store outages, lost responses and concurrent changes cause no errors

  Each scenario starts a store, daemons in failure domains and targets as
  separate processes and causes a fault, often while callers send requests. The
  checks read the callers' results, the logs of the targets, the store and the
  time lines. The only tight time limit is that a change has to reach every daemon
  within 6 seconds.

  Scenario: A platform outage blocks changes but no requests
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When the platform has an outage
    Then an operator's change is refused as unavailable
    And 300 more requests have ended
    When the platform is available again
    Then an operator's change is accepted
    And every daemon has the newest version
    And no request was refused or has an unknown outcome
    And responses are correct, no POST ran twice and no refused request ran

  Scenario: A change whose response is lost is read back and written once
    Given a system of 1 failure domains with 2 daemons each
    When the responses of the store to the next 2 writes are lost
    And an operator sets the label extra
    Then the store has written the label extra once

  @known_red
  Scenario: A failure domain without a link to the platform gets changes from peers
    Given a system of 2 failure domains with 2 daemons each
    When failure domain b is disconnected from the platform
    And an operator sets the label extra
    Then every daemon has the newest version

  Scenario: Of two concurrent changes of an object one is accepted
    Given a system of 1 failure domains with 2 daemons each
    When 2 operators change the selector booking 10 times from the same version
    Then each time one change is accepted and the error names the accepted version
    And every daemon has the newest version
