"""Settings and checks that generated histories share."""

import os

import hypothesis
from hypothesis import strategies
from loguru import logger

from hemlockgrade import changelog
from hemlockgrade import model
from hemlockgrade import serialization

# Thousands of simulated failures would bury the result of a failing check.
logger.disable('hemlockgrade.changelog')
logger.disable('hemlockgrade.lease')

SETTINGS = hypothesis.settings(
    max_examples=int(os.environ.get('HEMLOCK_SEEDS', '25')),
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SEEDS = strategies.integers(0, 2**32)
FAULT_RATES = strategies.sampled_from([0.0, 0.05, 0.2, 0.4])


def run(check):
    """Runs a property, and puts the failing example into its message."""
    try:
        check()
    except AssertionError as error:
        notes = getattr(error, '__notes__', [])
        raise AssertionError('\n'.join([str(error), *notes])) from error


def stored_changes(store):
    return [
        serialization.from_json(o.value, model.Change)
        for o in store.select(changelog.CHANGES)
    ]


def check_numbers(changes):
    """Checks that the log has no gap and holds no change twice."""
    numbers = [change.number for change in changes]
    assert numbers == list(range(1, len(changes) + 1)), numbers
    ids = [change.change_id for change in changes]
    assert len(set(ids)) == len(ids), ids
