Feature: An operator works with hemlockctl alone

  Scenario: Labels, selectors, status, explanation and time line of a running system
    Given a system of 1 failure domains with 2 daemons each
    Then hemlockctl lists the labels edge, booking and the selector booking
    And it explains that /booking/12 is served by selector booking with v1
    And it explains that /nothing has no route
    And its status shows 2 daemons on one version and 2 targets alive
    And its time line shows the change of selector booking on every daemon in order
    When the label edge is removed with hemlockctl
    Then hemlockctl ends with exit code 3 and names the field name
    When the selector booking is removed with hemlockctl
    Then hemlockctl ends with exit code 0
    And no proxy serves /booking/12

  Scenario Outline: Bad input is refused by the name of its field and nothing is applied
    Given a system of 1 failure domains with 1 daemons each
    When a selector is applied with <fault>
    Then hemlockctl ends with exit code 3 and names the field <field>
    And the store has only the 3 objects of an operator

    Examples:
      | fault                     | field              |
      | an unknown label          | targets            |
      | shares of 110 percent     | shares_by_version  |
      | an agreed time in the past | agreed_by         |
      | an unknown field          | selector           |
      | an oversized route list   | body               |

  Scenario: The metrics page needs the token and shows the version in force
    Given a system of 1 failure domains with 1 daemons each
    And callers send requests to every proxy
    Then the metrics page shows hemlock_table_revision
    And the metrics page shows hemlock_requests_total{outcome="2xx",selector="booking",version="v1"}
    And the metrics page shows hemlock_targets{state="ready"} 1
    And the metrics page without the token answers 401
