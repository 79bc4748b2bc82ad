Feature: The judge of rollouts holds its stated error rates

  The judge gets generated histories of a rollout with the shares of its stages.
  The same seed gives the same histories. Rates are compared with the constants
  of the judge.

  Scenario Outline: A version without a fault is rarely found bad
    When 200 histories are generated with <requests> requests a step in which <condition>
    Then the fraction found bad is at most the judge's false alarm probability

    Examples:
      | requests | condition                                            |
      | 10       | both versions fail 1 in 100                          |
      | 10       | both versions fail 5 in 100                          |
      | 40       | both versions fail 1 in 100                          |
      | 40       | both versions fail a fifth and are slow for a while  |
      | 40       | failures and latencies of both versions vary         |
      | 40       | the new version is 2 times slower in its first steps |

  Scenario Outline: A fault of the stated size is rarely missed
    When 200 histories are generated with 10 requests a step in which <condition>
    Then the fraction missed is at most the judge's miss probability

    Examples:
      | condition                         |
      | the new version fails 10 in 100   |
      | the new version is 2 times slower |

  Scenario Outline: A bad version is found before its fiftieth failure
    When 100 histories are generated with <requests> requests a step in which the new version fails <percent> in 100
    Then all are found bad, each by the new version's failure <failures> at the latest

    Examples:
      | requests | percent | failures |
      | 40       | 30      | 50       |
      | 40       | 50      | 50       |
      | 40       | 100     | 50       |

  Scenario: A version that fails where no other one has responses is found
    When a version that fails 60 of 100 requests is the only one with responses
    Then it is found bad

  Scenario: The stages up to half of the traffic use less than the exposed share
    # Guards against a version that becomes faulty in these stages and gets more
    # requests than a faulty version may get, although it is found at once.
    Then the stages up to 500 permille use at most 0.1 of the requests of a rollout

  Scenario: A version that the test before the last stage finds bad is rolled back
    Given a rollout in its last stage with 2 seconds left
    When its last stage has not begun and its trial concludes with a fault
    And the holder of the rollout decides
    Then the rollout states written are rolled_back

  Scenario Outline: A new version counts as cold as long as its servers say
    When the first stage begins and a server of the new version stays slow for <warm_up> s
    Then the new version counts as cold for <cold> s

    Examples:
      | warm_up | cold |
      | 0       | 2    |
      | 5       | 5    |
