Feature: A request is retried only when a retry is safe and within the budget

  Scenario Outline: The retry decision depends on the failure and the attempts
    # A request that a daemon refused has reached no server, so sending it again
    # takes nothing from the retry budget. When it did, the budget was used up
    # under overload and requests were given up.
    When a <method> request with <condition> fails with <failure>
    Then the retry decision is <decision>

    Examples:
      | method | failure   | condition                                 | decision        |
      | GET    | not_run   | time and budget left                      | retry_elsewhere |
      | POST   | not_run   | time and budget left                      | retry_elsewhere |
      | PATCH  | not_run   | time and budget left                      | retry_elsewhere |
      | GET    | no_answer | time and budget left                      | retry_elsewhere |
      | PUT    | unknown   | time and budget left                      | retry_elsewhere |
      | DELETE | no_answer | time and budget left                      | retry_elsewhere |
      | HEAD   | failed    | time and budget left                      | retry_elsewhere |
      | POST   | failed    | time and budget left                      | give_up_unknown |
      | POST   | no_answer | time and budget left                      | give_up_unknown |
      | PATCH  | no_answer | time and budget left                      | give_up_unknown |
      | POST   | unknown   | time and budget left                      | give_up_unknown |
      | POST   | timeout   | time and budget left                      | give_up_unknown |
      | get    | no_answer | time and budget left                      | give_up_unknown |
      | PURGE  | unknown   | time and budget left                      | give_up_unknown |
      | POST   | not_run   | no time left                              | give_up_not_run |
      | POST   | not_run   | no budget left                            | retry_elsewhere |
      | POST   | shed      | time and budget left                      | retry_elsewhere |
      | POST   | shed      | no budget left                            | give_up_not_run |
      | POST   | shed      | three attempts                            | give_up_not_run |
      | POST   | not_run   | three attempts                            | give_up_not_run |
      | POST   | not_run   | five refusals                             | give_up_not_run |
      | GET    | not_run   | a possible earlier run                    | retry_elsewhere |
      | GET    | shed      | a possible earlier run and no budget left | give_up_unknown |
      | GET    | not_run   | a possible earlier run and no budget left | retry_elsewhere |
      | GET    | no_answer | no time left                              | give_up_unknown |
      | GET    | no_answer | no budget left                            | give_up_unknown |

  Scenario: Retries are limited to a fraction of the requests
    # Guards against a retry storm: retries of failed requests add load, and the
    # added load makes more requests fail.
    When generated numbers of requests and failures use a retry budget
    Then retries never exceed a tenth of the requests plus the initial budget

  Scenario: A request is either admitted or reported as never seen
    # Guards against a request that runs after its proxy was told that the
    # request had not run and never would.
    When generated sequences of admissions, fences and expiries are run
    Then no request identifier was admitted twice
    And no identifier was both admitted and reported as never seen

  Scenario: A fence request for another process has an unknown result
    When a fence request for another boot identifier arrives
    Then the fence result is unknown and the request can still be admitted

  Scenario Outline: A request is not run again after the daemon beside its server restarted
    # Guards against a second run: the restarted daemon does not know what the
    # earlier process has sent to the server.
    When the daemon beside the server of a <method> request restarts <count> times before the response
    Then the caller got status <status> and the request ran <runs> times

    Examples:
      | method | count | status | runs |
      | POST   | 1     | 502    | 1    |
      | POST   | 3     | 502    | 1    |
      | GET    | 1     | 200    | 2    |

  Scenario Outline: The refusal of a malformed attempt names its header
    When a daemon is asked to fence the attempt <id>
    Then it is refused as malformed with the header x-hemlock-attempt

    Examples:
      | id      |
      | 7       |
      | p.1-x   |
      | p.1-²   |

  Scenario: The size of the attempt ledger is limited
    When 30000 requests are admitted in 300 seconds
    Then the ledger holds at most the requests of its retention time
    And a fence request for the first of them has the result unknown
