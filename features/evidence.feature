Feature: Evidence adds up to the same sums however it arrives

  Scenario: Only selectors with a running rollout are counted
    Given a recorder for the selector booking
    When requests of booking and of fees are recorded
    Then only evidence on booking is taken
    And nothing is left to take

  Scenario: A record that arrives again counts once
    Given a recorder for the selector booking
    When 10 requests of v2 with 3 errors arrive twice at the store
    Then the store has 10 requests of v2 with 3 errors

  Scenario: A late record counts in the window in which its requests ended
    Given a recorder for the selector booking
    When records of two windows arrive in reverse order, 8 seconds late
    Then both versions stand side by side in each of the two windows

  Scenario: A very late record counts in the block of windows of its time
    Given a recorder for the selector booking
    When records of two windows arrive in reverse order, 40 seconds late
    Then both versions stand side by side in one block of both windows

  Scenario: Windows before the start of a stage are left out
    Given a recorder for the selector booking
    When records of two windows arrive in reverse order, 8 seconds late
    Then a comparison since the second window has one window

  Scenario: A record of a wrong clock does not count
    Given a recorder for the selector booking
    When a record comes from a clock that is a day ahead
    Then the store has 0 requests of v2 with 0 errors

  Scenario: Old windows are joined without losing a request
    Given a recorder for the selector booking
    When one request of each version ends in each of 1200 seconds
    Then the store has 1200 requests of v2 with 0 errors
    And it keeps fewer than 100 windows

  Scenario: Windows are not joined over the start of a stage
    Given a recorder for the selector booking
    When one request of each version ends in each of 1200 seconds, with a stage that starts after 605
    Then a comparison since the start of the stage has 595 requests of v2

  Scenario: Evidence of an hour ago is dropped, its repetition too
    Given a recorder for the selector booking
    When a record arrives and arrives again after 2 hours
    Then the store has 0 requests of v2 with 0 errors

  Scenario: Records survive the wire, and contradictory ones do not
    Given a recorder for the selector booking
    When records with errors go over the wire with a contradictory one
    Then the same records come out without the contradictory one

  Scenario: Repeated, late and reordered records do not change the sums
    Then generated histories over two relays give the sums of their requests
