Feature: A change of labels or selectors is accepted completely or refused by field

  Scenario: An unknown label and shares with a wrong sum are both reported
    Given no definitions
    When a selector with unknown labels and shares of 50 percent is checked
    Then the fields proxies, targets, shares_by_version are refused

  Scenario: A version that daemons would refuse is refused when it is set
    # Guards against a rollout whose stored state no daemon accepts.
    Given labels and a selector booking that gives version v1 all traffic
    When a selector with a version that has a line break is checked
    Then the fields shares_by_version are refused

  Scenario: During a rollout the stable and the new version share the traffic
    Given labels and a selector booking that gives version v1 all traffic
    When the selector booking gives version v2 all traffic
    Then booking is served by v1 with 100 percent
    When the rollout of booking progresses to 50 permille
    Then booking is served by v1 with 95 percent and v2 with 5 percent

  Scenario Outline: The result of a rollout determines the traffic shares
    Given labels and a selector booking that gives version v1 all traffic
    When the selector booking gives version v2 all traffic
    And the rollout of booking is <state>
    Then booking is served by <version> with 100 percent

    Examples:
      | state       | version |
      | done        | v2      |
      | rolled_back | v1      |

  Scenario: The result of an earlier rollout does not apply to a later one
    # Guards against a new version that gets all traffic before its own rollout
    # has been judged.
    Given labels and a selector booking that gives version v1 all traffic
    When the selector booking gives version v2 all traffic
    And the rollout of booking is rolled_back
    And the selector booking gives version v2 all traffic
    Then booking is served by v1 with 100 percent

  Scenario: A version whose rollout is done serves until the next one ends
    Given labels and a selector booking that gives version v1 all traffic
    When the selector booking gives version v2 all traffic
    And the rollout of booking is done
    And the selector booking gives version v3 all traffic
    Then booking is served by v2 with 100 percent

  Scenario: A label that a selector uses cannot be removed
    Given labels and a selector booking that gives version v1 all traffic
    Then the removal of label edge is refused with an error in the field name

  Scenario: A selector applies to the proxies and targets of its labels
    Given labels and a selector booking that gives version v1 all traffic
    Then the proxy host-1 has the route /booking/ to targets booking-*
    And the proxy other-1 has no route

  Scenario Outline: The longest path prefix of whole segments is selected
    Given a route table of selectors with prefixes /, /booking and /booking/faces
    Then the path <path> selects the prefix <prefix>

    Examples:
      | path              | prefix          |
      | /                 | /               |
      | /booking          | /booking/       |
      | /booking/12       | /booking/       |
      | /bookings         | /               |
      | /booking/faces    | /booking/faces/ |
      | /booking/faces/12 | /booking/faces/ |

  Scenario: A configured route with a host name precedes the selectors' routes
    # A selector must not change a route of the operator's configuration.
    Given a route table of selectors with prefixes /, /booking and /booking/faces
    When the configuration routes /booking/ of shop.example
    Then a request for /booking/faces of shop.example uses the configuration
    And a request for /booking/faces of other.example uses the selector
