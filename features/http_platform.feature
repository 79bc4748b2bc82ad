Feature: The platform client tells what is known about each call

  Background:
    Given a platform process

  Scenario: Conditional writes succeed once and conflicts are told apart
    When an object is created twice, updated twice from version 1 and deleted
    Then the results are version 1, conflict, version 2, conflict, done, absent

  Scenario Outline: A failed write says whether it may have taken effect
    When the platform has <fault> and an object is created
    Then the write fails with its outcome <outcome>
    And the object is <object>

    Examples:
      | fault                                           | outcome | object  |
      | {"lose_answers": 1}                             | unknown | present |
      | {"loss": "answers"}                             | unknown | present |
      | {"loss": "requests"}                            | unknown | absent  |
      | {"refuse": true}                                | unknown | absent  |
      | {"outage": true}                                | unknown | absent  |
      | {"delay_s": 1}                                  | unknown | absent  |
      | {"outage": true, "clients": ["domain-a.*"]}     | unknown | absent  |

  Scenario: A write that arrives late takes effect after its caller gave up
    When the platform has {"delay_s": 0.5} and an object is created
    Then the write fails with its outcome unknown
    And the object is absent, but present 1 second later

  Scenario: A write beyond the platform's rate is known not to have run
    When the platform allows 1 write a second and 2 objects are created
    Then the write fails with its outcome known

  Scenario: A waiting watch is one call and yields what is written
    When 2 objects are created while a watch waits
    Then the watch yields both after 2 or 3 calls
