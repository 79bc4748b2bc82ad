Feature: Servers name a limit, or that they leave, in their responses

  @known_red
  Scenario Outline: A server gets more requests than the limit that it names
    # Guards against daemons that do not know the limit of a server in need.
    Given a mesh of 3 hosts
    When the first server names the limit <limit>
    And callers send 90 requests a second for 8 seconds
    Then the first server got at most 1.5 times <rate> a second and 5 requests in 4 seconds
    And at least <percent>% of the requests succeeded

    Examples:
      | limit | rate | percent |
      | 10    | 10   | 97      |
      | 2.5   | 2.5  | 97      |
      | 0     | 0    | 97      |
