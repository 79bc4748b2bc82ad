Feature: Slots bound the work of a target, and what cannot finish is refused

  Scenario: Slots are exact in every history
    # Guards against lost slots, double grants and starved requests.
    When generated histories of arrivals, releases and expiries are played
    Then the slot history shows no wrong slots or wrong queue
    And the slot history shows no left over or ended twice
    And the slot history shows no wrong order or late grant

  Scenario: Cancelled waits lose no slot
    When generated cancellations meet generated releases in one limiter
    Then all slots are free in the end

  Scenario: A stall does not refuse work for ever
    Given a queue of 2 slots that measured services of 5 seconds
    When a request with 100 ms comes
    Then the slot request gets a slot

  Scenario: What cannot finish in time is refused at once
    Given a queue of 2 slots that measured services of 1 second
    And its slots are in use
    When a request with 1400 ms comes
    Then the slot request is refused
    When a request with 1600 ms comes
    Then the slot request waits

  Scenario: The queue shrinks while it stands and grows while it empties
    Given a queue of 8 slots that measured services of 0.05 seconds
    When it stands for 2 seconds
    Then the slot queue holds 4 requests
    When it empties in between for 2 seconds
    Then the slot queue holds 24 requests

  Scenario: A full queue is shared among callers
    Given a queue of 2 slots that measured services of 0.05 seconds
    And its slots are in use
    When caller a sends 10 requests and then caller b sends 1
    Then b's request waits and one of a's was refused for it
    When caller a sends 1 request more
    Then the slot request is refused

  Scenario: A draining limiter refuses new and waiting work
    Given a queue of 2 slots that measured services of 0.05 seconds
    And its slots are in use
    When 2 requests wait and the queue drains
    Then both are refused, as is a later one, and the running ones finish

  Scenario: Who can still be on time goes before who cannot
    # Guards against an overloaded queue in which every answer comes late.
    Given a queue of 2 slots that measured services of 0.1 seconds
    And its slots are in use
    When requests with 0.05 and then 0.5 seconds to be on time wait
    And a slot becomes free
    Then the second one gets it and the first one still waits

  Scenario: In a full queue one that is late makes room for one that is not
    Given a queue of 2 slots that measured services of 0.1 seconds
    And its slots are in use
    When requests fill the queue that cannot be on time
    And one comes that can be on time
    Then it waits and one that is late was refused for it

  Scenario: A lower rank waits for a higher one
    Given a queue of 2 slots that measured services of 0.1 seconds
    And its slots are in use
    When requests of rank 2 and then of rank 1 wait
    And a slot becomes free
    Then the second one gets it and the first one still waits

  Scenario: A waiting request is refused once it can no longer be served
    # Guards against an answer that is held back until the deadline.
    Given a limiter of 1 slot that measured services of 0.4 seconds
    When a request with 0.7 seconds waits for the slot
    Then it is refused after 0.5 seconds and at least 0.1 before its deadline
