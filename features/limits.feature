Feature: Slots limit the requests on a target; the others wait or are refused

  Scenario: Each request gets at most one slot and ends exactly once
    # Guards against lost slots, slots granted twice and requests that wait
    # indefinitely, over generated sequences of arrivals, releases and timeouts.
    When generated sequences of arrivals, releases and timeouts are run
    Then the slot queue has no wrong slot count or wrong queue length
    And the slot queue has no leftover request or request that ended twice
    And the slot queue has no admission in the wrong order or admission after the deadline

  Scenario: Cancelled requests free their slots
    When generated cancellations and releases are run on one limiter
    Then all slots are free at the end

  Scenario: A long mean service time does not cause permanent refusals
    Given a queue of 2 slots with a mean service time of 5 seconds
    When a request with a deadline in 100 ms arrives
    Then the slot request gets a slot

  Scenario: A request that cannot finish before its deadline is refused at once
    Given a queue of 2 slots with a mean service time of 1 second
    And its slots are in use
    When a request with a deadline in 1400 ms arrives
    Then the slot request is refused
    When a request with a deadline in 1600 ms arrives
    Then the slot request waits

  Scenario: The queue bound falls while the queue never empties, else it rises
    Given a queue of 8 slots with a mean service time of 0.05 seconds
    When the queue never empties for 2 seconds
    Then the queue bound is 4 requests
    When the queue empties repeatedly for 2 seconds
    Then the queue bound is 24 requests

  Scenario: A full queue is shared among callers
    Given a queue of 2 slots with a mean service time of 0.05 seconds
    And its slots are in use
    When caller a sends 10 requests and then caller b sends 1
    Then b's request waits and one of a's waiting requests was refused for it
    When caller a sends another request
    Then the slot request is refused

  Scenario: The simulation of the limits compares all policies
    # Guards against a simulation that no longer fits the package, and against
    # variants that override nothing and thus show the results of the package.
    When the simulation of the limits is run at 3 times the capacity
    Then it has a result for each of its 14 cases
    And each variant of the queue differs from the package

  Scenario: A draining limiter refuses new and waiting requests
    Given a queue of 2 slots with a mean service time of 0.05 seconds
    And its slots are in use
    When 2 requests wait and the queue drains
    Then both and a later request are refused, and the running ones finish

  Scenario: A request that can still be on time goes before one that cannot
    # Guards against an overloaded queue in which every response is late.
    Given a queue of 2 slots with a mean service time of 0.1 seconds
    And its slots are in use
    When requests with latency targets of 0.05 and then 0.5 seconds wait
    And a slot becomes free
    Then the second request gets it and the first one still waits

  Scenario: A late request leaves a full queue for one that can be on time
    Given a queue of 2 slots with a mean service time of 0.1 seconds
    And its slots are in use
    When requests that cannot be on time fill the queue
    And a request arrives that can be on time
    Then it waits and a late request was refused for it

  Scenario: A request of lower priority waits for one of higher priority
    Given a queue of 2 slots with a mean service time of 0.1 seconds
    And its slots are in use
    When requests of priority 2 and then of priority 1 wait
    And a slot becomes free
    Then the second request gets it and the first one still waits

  Scenario: A waiting request is refused as soon as it cannot finish in time
    # Guards against a refusal that is sent only at the deadline.
    Given a limiter of 1 slot with a mean service time of 0.4 seconds
    When a request that has to start within 0.7 seconds waits for the slot
    Then it is refused after 0.5 seconds and at least 0.1 seconds before its deadline
