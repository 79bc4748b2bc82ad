Feature: An operator manages and inspects a running system with hemlockctl

  Scenario: hemlockctl shows and removes labels and selectors
    Given a system of 1 failure domains with 2 daemons each
    Then hemlockctl lists the labels edge, booking and the selector booking
    And it explains that /booking/12 is served by selector booking with v1
    And it explains that /nothing has no route
    And its status shows 2 daemons with one version and 2 ready targets
    And its time line shows the change of selector booking on every daemon in order
    And its time line about "booking" has events, and about "booking&x" none
    When the label edge is removed with hemlockctl
    Then hemlockctl ends with exit code 3 and names the field name
    When the selector booking is removed with hemlockctl
    Then hemlockctl ends with exit code 0
    And no proxy serves /booking/12

  Scenario: A removal whose response is lost is reported as done
    # Guards against an operator who is told that the label is unknown.
    Given a system of 1 failure domains with 1 daemons each
    When the responses of the store to the next 2 writes are lost
    And the selector booking is removed with hemlockctl
    Then hemlockctl ends with exit code 0
    And no proxy serves /booking/12
    When the selector booking is removed with hemlockctl
    Then hemlockctl ends with exit code 3 and names the field name

  Scenario Outline: The name of an object is not read as a part of a URL
    # Guards against the removal of another object than the one that is named.
    Given a system of 1 failure domains with 1 daemons each
    When the selector <name> is removed with hemlockctl
    Then hemlockctl ends with exit code 3 and names the field name
    And the store has only the 3 objects of the operator, all unchanged

    Examples:
      | name       |
      | booking?x  |
      | booking#x  |
      | bookin%67  |
      | x/booking  |
      | łódź       |

  Scenario: Names and patterns that look like numbers stay as they are
    Given a system of 1 failure domains with 1 daemons each
    When the label 1.10 is set with hemlockctl to the members 007 and 1e3
    Then hemlockctl lists the label 1.10 with the members 007 and 1e3
    When the label 1.10 is set with hemlockctl to the members 2.50
    Then hemlockctl lists the label 1.10 with the members 2.50

  Scenario Outline: Invalid input is refused by field and nothing is applied
    Given a system of 1 failure domains with 1 daemons each
    When a selector is applied with <fault>
    Then hemlockctl ends with exit code 3 and names the field <field>
    And the store has only the 3 objects of the operator, all unchanged

    Examples:
      | fault                         | field             |
      | an unknown label              | targets           |
      | shares of 110 percent         | shares_by_version |
      | an agreed_by time in the past | agreed_by         |
      | an unknown field              | selector          |
      | an oversized route list       | body              |

  Scenario: The metrics page needs the token and shows the version in force
    Given a system of 1 failure domains with 1 daemons each
    And callers send requests to every proxy
    Then the metrics page shows hemlock_table_revision
    And the metrics page shows hemlock_requests_total{outcome="2xx",selector="booking",version="v1"}
    And the metrics page shows hemlock_targets{state="ready"} 1
    And the metrics page without the token has status 401
