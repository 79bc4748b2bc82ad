Feature: A soak of separate processes under signals, changes and faults

  Scenario: No promise is broken in a short soak
    When soaks of 8 seconds run with the seeds 2,3
    Then every request and every shutdown kept the promises

  Scenario: No promise is broken while the store comes back from older copies
    # Guards against knowledge of the store that is lost or undone by a copy.
    When soaks of 8 seconds with 2 returns of the store run with the seeds 2,4,6
    Then every request and every shutdown kept the promises

  Scenario Outline: No promise is broken with seeds that failed
    When soaks of 12 seconds run with the seeds <seeds>
    Then every request and every shutdown kept the promises

    Examples: seeds that failed, by cause
      | seeds     | cause                                                                             |
      | 1,4,5,6,9 | a request accepted 3 to 4.2 s after SIGTERM was cut at 5.3 s, its server at work  |
      | 7         | the same; a request was cut by the cancellation of the one before it               |
