Feature: Requests that servers send while they run a request

  Scenario: Calls of repeated runs exceed the retry budget of the service that is called
    # Guards against calls of repeated runs that nobody counts as retries.
    Given 4 booking servers whose runs send 3 calls each to 4 permit servers
    And they refuse 30% of the requests, and permit servers 20%
    When callers send 60 requests a second for 7 seconds
    Then the permit servers get no more repeats than their retry budget allows
