Feature: A request is sent again only when that is safe and affordable

  Scenario Outline: Decision by what is known of the failure
    # Being refused by a daemon reaches no server and is no repetition; counted
    # as one, it used up the budget under overload and requests were given up.
    When a <method> fails with <failure> and <earlier> earlier
    Then the retry decision is <decision>

    Examples:
      | method | failure   | earlier        | decision         |
      | GET    | not_run   | nothing        | retry_elsewhere  |
      | POST   | not_run   | nothing        | retry_elsewhere  |
      | PATCH  | not_run   | nothing        | retry_elsewhere  |
      | GET    | no_answer | nothing        | retry_elsewhere  |
      | PUT    | unknown   | nothing        | retry_elsewhere  |
      | DELETE | no_answer | nothing        | retry_elsewhere  |
      | HEAD   | failed    | nothing        | retry_elsewhere  |
      | POST   | failed    | nothing        | give_up_unknown  |
      | POST   | no_answer | nothing        | give_up_unknown  |
      | PATCH  | no_answer | nothing        | give_up_unknown  |
      | POST   | unknown   | nothing        | give_up_unknown  |
      | POST   | timeout   | nothing        | give_up_unknown  |
      | get    | no_answer | nothing        | give_up_unknown  |
      | PURGE  | unknown   | nothing        | give_up_unknown  |
      | POST   | not_run   | no time        | give_up_not_run  |
      | POST   | not_run   | no budget      | retry_elsewhere  |
      | POST   | shed      | nothing        | retry_elsewhere  |
      | POST   | shed      | no budget      | give_up_not_run  |
      | POST   | shed      | three attempts | give_up_not_run  |
      | POST   | not_run   | three attempts | give_up_not_run  |
      | POST   | not_run   | five refusals  | give_up_not_run  |
      | GET    | not_run   | a possible run | retry_elsewhere  |
      | GET    | shed      | a possible run and no budget | give_up_unknown |
      | GET    | not_run   | a possible run and no budget | retry_elsewhere |
      | GET    | no_answer | no time        | give_up_unknown  |
      | GET    | no_answer | no budget      | give_up_unknown  |

  Scenario: Retries stay a share of the requests
    # Guards against a retry storm: load that grows by failing.
    When generated histories of requests and failures draw on a budget
    Then retries never exceed a tenth of the requests plus the reserve

  Scenario: A fence and an admission exclude each other
    # Guards against a request that runs after its proxy was told it never does.
    When generated histories of admissions, fences and expiries are played
    Then no identifier was admitted twice
    And no identifier was both admitted and reported as never seen

  Scenario: A fence for another process says nothing
    When a fence with another boot identifier comes
    Then its result is unknown and the request may still be admitted

  Scenario: The ledger stays bounded
    When 30000 requests are admitted in 300 seconds
    Then the ledger holds at most the entries of its retention time
    And a fence for the first of them has the result unknown
