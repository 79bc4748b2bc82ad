"""Steps on the error rates of the judge of rollouts."""

import random
import re

from behave import then
from behave import when

from hemlockgrade import directory
from hemlockgrade import evidence
from hemlockgrade import model
from hemlockgrade import rollout_task
from hemlockgrade.plugins import binomial_judge

# Number of steps of each stage before the last one, by its traffic share of the
# new version in permille.
STEPS_BY_PERMILLE = {
    stage.permille: round(stage.time_fraction * 100)
    for stage in rollout_task.STAGES[:-1]
}
COLD_STEPS = 5
ROUTES = ('/booking', '/fees', '/permits')
ROUTE_WEIGHTS = (0.6, 0.3, 0.1)
LATENCY_MEDIAN_S = 0.02
LATENCY_SIGMA = 0.6


def conditions(condition, step, is_new):
    """Returns the fraction of failures and the factor of the latency."""
    percent = re.search(r'fails? (\d+) in 100', condition)
    factor = re.search(r'(\d) times slower', condition)
    failed_fraction, latency_factor = 0.01, 1.0
    if percent and (is_new or condition.startswith('both')):
        failed_fraction = int(percent[1]) / 100
    if factor and is_new and not condition.endswith('first steps'):
        latency_factor = float(factor[1])
    if factor and is_new and step < COLD_STEPS:
        latency_factor = float(factor[1])
    if condition.endswith('for a while') and 40 <= step < 56:
        return 0.2, 2.0
    if condition.endswith('vary'):
        return 0.02 * (1 + (-1) ** (step // 7)), 1 + 0.3 * (step % 11) / 11
    return failed_fraction, latency_factor


def generate_totals(random_, requests, condition):
    """Generates the totals after each step, with the share of the step."""
    totals = {}
    step = 0
    for permille, steps in STEPS_BY_PERMILLE.items():
        for _ in range(steps):
            for _ in range(requests):
                is_new = random_.random() * 1000 < permille
                failed_fraction, factor = conditions(condition, step, is_new)
                route = random_.choices(ROUTES, ROUTE_WEIGHTS)[0]
                totals.setdefault(
                    ('v2' if is_new else 'v1', route), evidence.Counts()
                ).add(
                    random_.random() >= failed_fraction,
                    LATENCY_MEDIAN_S
                    * factor
                    * random_.lognormvariate(0, LATENCY_SIGMA),
                )
            yield permille, step, totals
            step += 1


def judge_history(random_, requests, condition):
    """Judges a history as the holder of a rollout does.

    Returns:
        Whether the version is found bad, and the number of its failures and of
        its responses until then.
    """
    trial = binomial_judge.BinomialJudge().start('v2')
    stage = min(STEPS_BY_PERMILLE)
    for permille, step, totals in generate_totals(random_, requests, condition):
        if permille != stage:
            trial.start_stage()
            stage = permille
        finding = trial.observe(totals, is_cold=step < COLD_STEPS)
        if finding is not None:
            break
    else:
        finding = trial.conclude()
    new = evidence.merged(
        counts for (version, _), counts in totals.items() if version == 'v2'
    )
    return finding is not None, new.failed, new.requests


@when(
    '{count:d} histories are generated with {requests:d} requests a step in '
    'which {condition}'
)
def judge_histories(context, count, requests, condition):
    random_ = random.Random(f'{requests}/{condition}')
    context.verdicts = [
        judge_history(random_, requests, condition) for _ in range(count)
    ]


@then("the fraction found bad is at most the judge's false alarm probability")
def check_false_alarms(context):
    found = sum(is_bad for is_bad, _, _ in context.verdicts)
    assert found / len(context.verdicts) <= (
        binomial_judge.FALSE_ALARM_PROBABILITY
        + binomial_judge.FINAL_FALSE_ALARM_PROBABILITY
    ), found


@then("the fraction missed is at most the judge's miss probability")
def check_misses(context):
    missed = [
        responses for is_bad, _, responses in context.verdicts if not is_bad
    ]
    assert len(missed) / len(context.verdicts) <= (
        binomial_judge.MISS_PROBABILITY
    ), len(missed)


@then(
    "all are found bad, each by the new version's failure {most:d} at the "
    'latest'
)
def check_failures_until_found(context, most):
    assert all(is_bad for is_bad, _, _ in context.verdicts)
    failures = max(failed for _, failed, _ in context.verdicts)
    assert failures <= most, failures


@when(
    'a version that fails {failed:d} of {requests:d} requests is the only one '
    'with responses'
)
def judge_only_version(context, failed, requests):
    counts = evidence.Counts()
    for number in range(requests):
        counts.add(number >= failed, LATENCY_MEDIAN_S)
    trial = binomial_judge.BinomialJudge().start('v2')
    context.finding = trial.observe({('v2', 'r'): counts}, is_cold=False)


@then('it is found bad')
def check_found_bad(context):
    assert context.finding is not None


@then(
    'the stages up to {permille:d} permille use at most {limit:g} of the '
    'requests of a rollout'
)
def check_planned_exposure(context, permille, limit):
    whole = rollout_task.RESERVED_TIME_FRACTION + sum(
        stage.time_fraction for stage in rollout_task.STAGES
    )
    used = sum(
        stage.permille / 1000 * stage.time_fraction / whole
        for stage in rollout_task.STAGES
        if stage.permille <= permille
    )
    assert used <= limit, used


class FaultyTrial:
    """Trial that finds a fault at its end only."""

    def observe(self, totals, is_cold):
        return None

    def conclude(self):
        return 'failed on all'


@when('its last stage has not begun and its trial concludes with a fault')
def replace_trial(context):
    progress = context.task._progress_by_key['booking']
    progress.stage = len(rollout_task.STAGES) - 2
    progress.trial = FaultyTrial()


@when(
    'the first stage begins and a server of the new version stays slow for '
    '{warm_up_s:g} s'
)
def begin_first_stage(context, warm_up_s):
    mesh_directory = directory.Directory('a')
    server = model.Server(
        server_id='s',
        service='booking',
        address='127.0.0.1:1',
        zone='a',
        version='v2',
        slots=1,
        state=model.ServerState.READY,
        warmup_left_s=warm_up_s,
    )
    mesh_directory.apply_member(
        model.Member(
            name='b',
            address='127.0.0.1:2',
            zone='a',
            boot_id='x',
            server=server,
            revision=1,
        ),
        'test',
    )
    now = 100.0
    task = rollout_task.RolloutTask(
        host_name='a',
        store=None,
        directory=mesh_directory,
        pool=None,
        clock=lambda: now,
        judge=binomial_judge.BinomialJudge(),
        exposed_share=0.1,
    )
    share = model.VersionShare(
        key='booking',
        service='booking',
        version='v2',
        permille=60,
        state=model.RolloutState.RUNNING,
    )
    progress = rollout_task.Progress(
        stage=0,
        stage_ends_at=104.0,
        finish_by=112.0,
        wait_for_servers_until=104.0,
        trial=FaultyTrial(),
    )
    context.cold_s = 0
    while task._is_cold(share, progress):
        context.cold_s += 1
        now += 1.0


@then('the new version counts as cold for {seconds:d} s')
def check_cold_time(context, seconds):
    assert context.cold_s == seconds, context.cold_s
