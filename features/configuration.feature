Feature: A change of configuration is accepted whole or refused by field

  Scenario: An unknown label and shares that do not add up are both named
    Given nothing is defined
    When a selector with unknown labels and shares of 50 percent is checked
    Then the fields proxies, targets, shares_by_version are refused

  Scenario: A rollout mixes the old and the new version by its progress
    Given labels and a selector by which version v1 serves all of booking
    When version v2 is named for all of booking
    Then booking is served by v1 with 100 percent
    When the rollout of booking progresses to 50 permille
    Then booking is served by v1 with 95 percent and v2 with 5 percent

  Scenario Outline: The end of a rollout decides on the shares
    Given labels and a selector by which version v1 serves all of booking
    When version v2 is named for all of booking
    And the rollout of booking is <state>
    Then booking is served by <version> with 100 percent

    Examples:
      | state       | version |
      | done        | v2      |
      | rolled_back | v1      |

  Scenario: The outcome of an earlier rollout says nothing of a later one
    # Guards against a version that takes over without having been judged.
    Given labels and a selector by which version v1 serves all of booking
    When version v2 is named for all of booking
    And the rollout of booking is rolled_back
    And version v2 is named for all of booking
    Then booking is served by v1 with 100 percent

  Scenario: A version that has taken over says nothing of the next one
    Given labels and a selector by which version v1 serves all of booking
    When version v2 is named for all of booking
    And the rollout of booking is done
    And version v3 is named for all of booking
    Then booking is served by v2 with 100 percent

  Scenario: A label that a selector uses cannot be removed
    Given labels and a selector by which version v1 serves all of booking
    Then the removal of label edge is refused by the field name

  Scenario: Selectors apply to the proxies and targets of their labels
    Given labels and a selector by which version v1 serves all of booking
    Then the proxy host-1 has the route /booking/ to targets booking-*
    And the proxy other-1 has no route

  Scenario Outline: The longest prefix of whole segments wins
    Given a route table of selectors with prefixes /, /booking and /booking/faces
    Then the path <path> leads to <prefix>

    Examples:
      | path              | prefix          |
      | /                 | /               |
      | /booking          | /booking/       |
      | /booking/12       | /booking/       |
      | /bookings         | /               |
      | /booking/faces    | /booking/faces/ |
      | /booking/faces/12 | /booking/faces/ |

  Scenario: A route of a host goes before the routes of selectors
    # Nothing of the operators' configuration changes by a selector.
    Given a route table of selectors with prefixes /, /booking and /booking/faces
    When the configuration routes /booking/ of shop.example
    Then a request for /booking/faces of shop.example takes the configuration's
    And a request for /booking/faces of other.example takes the selector's
