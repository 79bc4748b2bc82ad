Feature: Callers are served correctly while daemons, failure domains and targets fail

  Each scenario starts a store, daemons in failure domains and targets as
  separate processes and causes a fault, often while callers send requests. The
  checks read the callers' results, the logs of the targets, the store and the
  time lines. The only tight time limit is that a change has to reach every daemon
  within 6 seconds.

  Scenario: A killed daemon affects no request at other proxies
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When the daemon a-1 is killed and restarted
    And 300 more requests have ended
    Then responses are correct, no POST ran twice and no refused request ran
    And no GET request at another proxy has an unknown outcome
    And every daemon has the newest version

  Scenario: All daemons of a failure domain are killed and restarted at once
    Given a system of 2 failure domains with 2 daemons each
    And callers send requests to every proxy
    When all daemons of failure domain b are killed
    And an operator sets the label extra
    And all daemons of failure domain b are restarted
    Then every daemon has the newest version
    And 200 more requests have ended
    And responses are correct, no POST ran twice and no refused request ran

  Scenario: A leaving target completes its requests and gets no new ones
    Given a system of 1 failure domains with 2 daemons each
    And callers send slow requests to every proxy
    When the target booking-v1-a-1 gets SIGTERM
    Then the process ends
    And 100 more requests have ended
    And no request was refused or has an unknown outcome
    And responses are correct, no POST ran twice and no refused request ran

  Scenario: A daemon that is stopped completes the requests in flight
    Given a system of 1 failure domains with 2 daemons each
    And callers send slow requests to every proxy
    When the daemon a-1 gets SIGTERM
    Then the process ends with exit code 0
    And no request has an unknown outcome
    And responses are correct, no POST ran twice and no refused request ran

  Scenario: A change without the administration token is refused
    Given a system of 1 failure domains with 1 daemons each
    When a label is sent without the token
    Then the status is 401 and nothing is written
