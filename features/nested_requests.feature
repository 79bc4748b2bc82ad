Feature: Requests that servers send while they run a request

  Scenario: Calls of repeated runs exceed the retry budget of the service that is called
    # Guards against calls of repeated runs that nobody counts as retries.
    Given 4 booking servers whose runs send 3 calls each to 4 permit servers
    And they refuse 30% of the requests, and permit servers 20%
    When callers send 60 requests a second for 7 seconds
    Then the permit servers get no more repeats than their retry budget allows

  Scenario: A request is run again although its run failed because a call was refused
    # Guards against runs that send the same calls to the same overloaded service.
    Given 3 booking servers whose runs send 1 calls each to 2 permit servers
    And they refuse 0% of the requests, and permit servers 100%
    When callers send 20 requests a second for 2 seconds
    Then no request ran twice

  Scenario Outline: The parent of a request is the nearest one that runs
    # Guards against calls two levels deep that get the priority of the first
    # request.
    Given a server that runs the requests a and a.1
    Then the parent of the request <id> is <parent>

    Examples:
      | id    | parent |
      | a.1.2 | a.1    |
      | a.2   | a      |
      | a.1   | a.1    |
      | ab.1  | none   |
