"""Steps for the randomized soak."""

import subprocess
import sys

from behave import then
from behave import when

from standins import cluster

# Number of seeds that run at once.
JOBS = 3
# Longest time of all runs, in seconds. Each run ends itself before that.
TIMEOUT_S = 300


@when('soaks of {seconds:d} seconds run with the seeds {seeds}')
def run_soak(context, seconds, seeds, restores=0):
    context.soak = subprocess.run(
        [sys.executable, '-m', 'standins.soak', '--seeds', seeds]
        + ['--seconds', str(seconds), '--jobs', str(JOBS)]
        + ['--restores', str(restores)],
        cwd=cluster.ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=TIMEOUT_S,
    )


@when(
    'soaks of {seconds:d} seconds with {restores:d} returns of the store run with the seeds {seeds}'
)
def run_soak_with_returns(context, seconds, restores, seeds):
    run_soak(context, seconds, seeds, restores)


@then('every request and every shutdown kept the promises')
def check_soak(context):
    assert context.soak.returncode == 0, context.soak.stdout
