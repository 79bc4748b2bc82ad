Feature: The client of the store returns what the store has

  Scenario: A change of an object on an earlier page of a list is not missed
    # Guards against a watch that begins after changes which the list lacks.
    When a list has two pages and an object of the first one changes in between
    Then the watch after the list begins before that change
