Feature: Each request gets a known route, a version by share and a good target

  Scenario Outline: The longest prefix of whole segments wins
    Given a proxy with the routes /, /booking and /booking/fees
    Then the path <path> is matched by <prefix>

    Examples:
      | path                  | prefix        |
      | /booking              | /booking      |
      | /booking/             | /booking      |
      | /bookings             | /             |
      | /booking/fees/7?a=/b  | /booking/fees |
      | /booking/feesx        | /booking      |
      | /booking?to=/fees     | /booking      |
      | /                     | /             |

  Scenario: Selectors apply to proxies and targets of their labels
    Given version v1 on 4 targets, of which the label matches 2
    Then the proxy edge-1 has routes to 2 targets of v1
    And the proxy core-1 has no routes

  Scenario: New shares wait for a target of each version
    Given version v1 on 4 targets with all of the traffic
    When version v2 gets 5 percent of the traffic
    Then the versions in use are v1
    And the path /share/5 is matched by nothing
    When a target of v2 becomes known
    Then the versions in use are v1, v2
    And the path /share/5 is matched by /share/5
    When version v2 gets 0 percent of the traffic
    Then the versions in use are v1

  Scenario: A kept entry gives no traffic to a version without a share
    Given version v1 on 4 targets with all of the traffic
    And a target of v2 becomes known
    And version v2 gets 50 percent of the traffic
    When version v2 gets no traffic and the unknown v3 gets 5 percent
    Then the versions in use are v1
    When the selector is removed
    Then the path /booking is matched by nothing

  Scenario: Traffic of a version without targets does not move to a new one
    Given version v1 on 4 targets with all of the traffic
    And a target of v2 becomes known
    And a rollout of v2 gives it 5 percent
    When all targets of v1 are gone
    Then the versions in use are None

  Scenario: The first request goes to the new version on few of many proxies
    Given a route with 5 percent for v2
    Then about 5 percent of 2000 proxies start with v2

  Scenario: A locally stopped version gets nothing while another one serves
    Given a route with 5 percent for v2
    Then 1000 requests with v2 stopped all go to v1
    And 1000 requests with all versions stopped all go to v1

  Scenario Outline: The guard stops a new version that clearly fails more
    Given a guard for v2 at 5 percent of the requests
    When 4000 requests fail at <old> percent for v1 and <new> percent for v2
    Then the guard <result> v2

    Examples:
      | old | new | result        |
      | 0   | 100 | stops         |
      | 1   | 40  | stops         |
      | 20  | 20  | does not stop |
      | 100 | 100 | does not stop |

  Scenario: A route's guard ends with its rollout
    Given version v1 on 4 targets with all of the traffic
    And a target of v2 becomes known
    And a rollout of v2 gives it 5 percent
    When every request to v2 fails
    Then the proxy stops v2 on the route
    When the rollout is rolled back
    Then the proxy stops nothing on the route

  Scenario: The guard's false alarms stay below the stated rate
    Then at most 0.1 percent of 3000 guards stop an equally failing version

  Scenario: A proxy prefers its own domain and spills over when it is full
    Given 12 warm targets over the domains a, b and c
    Then at least 90 percent of 1000 requests stay in domain a
    When the targets in domain a have all slots in use
    Then at most 20 percent of 1000 requests stay in domain a

  Scenario: A failing target is ejected, probed and taken back
    Given 12 warm targets over the domains a, b and c
    When connections to t0 fail 2 times
    Then t0 gets no request before 1 second has passed
    And afterwards it gets one request at a time until one succeeds

  Scenario: Ejections never leave a version without targets
    Given 12 warm targets over the domains a, b and c
    When connections to all targets fail 2 times
    Then a target is chosen at once

  Scenario: Errors of most targets are no fault of single ones
    Given 12 warm targets over the domains a, b and c
    Then targets ejected for errors serve on once they are most of all

  Scenario: A target that was slow is tried again
    Given 12 warm targets over the domains a, b and c
    When t0 answers 10 times slower than the others
    Then t0 gets fewer than 1 percent of the requests
    And t0 is tried again within 30 seconds

  Scenario: A cold target gets a growing share
    Given 12 warm targets over the domains a, b and c
    When t0 was restarted
    Then its share grows over 10 seconds

  Scenario Outline: States decide on new work
    Given 12 warm targets over the domains a, b and c
    When t0 becomes <state>
    Then t0 gets <work>

    Examples:
      | state       | work                    |
      | draining    | no work                 |
      | gone        | no work                 |
      | suspect     | work only as the last   |
      | unreachable | work only as the last   |

  Scenario: Generated histories of configurations and members
    Then no generated table routes to an unknown target

  Scenario: Generated shares and windows
    Then a version never exceeds its share by more than one request in any window
