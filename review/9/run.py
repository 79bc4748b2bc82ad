"""Case 9: the store comes back from a copy during a rollout."""

import asyncio
import time

from review import mesh2

ORDERED_AFTER_S = 4.0
DURATION_S = 16
# The new version turns bad this long after the order, in seconds.
BAD_AFTER_S = 9.0
# The store is away this long after the order, for this time, and comes back
# from a copy of this age, in seconds.
DRILL_AFTER_S = 5.0
AWAY_S = 0.5
COPY_AGE_S = 3.0
RATE_PER_S = 160
ENDS_AFTER_S = 42.0


async def case(mesh: mesh2.Mesh) -> bool:
    """Runs the case and returns whether EXPOSURE held."""
    record, store = mesh.record, mesh.store
    store.write(
        'config',
        'main',
        mesh2.configuration(16, mesh2.route('r1', '/shop/', 'booking')),
    )
    old = [f'm{zone}1' for zone in 'abc']
    for name in old:
        await mesh.add_server(name, f'zone-{name[1]}', 'v1', 'booking')
    await mesh.wait_until_ready(old)
    load = mesh2.Load(mesh, old, RATE_PER_S)
    load.start()
    await asyncio.sleep(ORDERED_AFTER_S)

    ordered_at = time.monotonic()
    order = {
        'Service': 'booking',
        'TargetVersion': 'v2',
        'DurationS': DURATION_S,
    }
    store.write('rollouts', 'booking', order)
    record.note('ordered', version='v2', duration_s=DURATION_S)
    new = [f'm{zone}2' for zone in 'abc']
    for name in new:
        await mesh.add_server(
            name,
            f'zone-{name[1]}',
            'v2',
            'booking',
            bad_from=ordered_at + BAD_AFTER_S,
        )
    await asyncio.sleep(ordered_at + DRILL_AFTER_S - time.monotonic())
    stable_at = ordered_at
    if mesh2.is_troubled():
        store.is_away = True
        store.cut_connections()
        record.note('store_away')
        await asyncio.sleep(AWAY_S)
        store.restore(COPY_AGE_S + AWAY_S)
        store.is_away = False
        stable_at = time.monotonic()
        record.note('store_back', era=store.era, revision=store.revision)

    rolled_back_at = None
    while time.monotonic() < ordered_at + ENDS_AFTER_S:
        await asyncio.sleep(0.1)
        status = (store.get('rollouts', 'booking') or {}).get('Status') or {}
        if status.get('State') == 'rolled_back' and rolled_back_at is None:
            rolled_back_at = time.monotonic()
            record.note('rolled_back')
            asyncio.get_running_loop().call_later(
                4.0, lambda: [mesh.server_by_name[n].stop() for n in new]
            )
            if not mesh2.is_troubled():
                break
    await load.stop()
    return judge(mesh, load, new, stable_at + 3.0)


def judge(mesh, load, new, stable_from) -> bool:
    """Judges the last clause of EXPOSURE.

    The bad version gets no request that was sent later than `RollbackMs` after
    its 50th bad answer since the core was last unstable.
    """
    record = mesh.record
    runs = sorted(
        run for name in new for run in mesh.server_by_name[name].run_times
    )
    for at, request_id, status in runs:
        record.write(
            'ran',
            request=request_id,
            at=f'{at - record.started:.3f}',
            version='v2',
            status=status,
        )
    bad = [at for at, _, status in runs if status == 500 and at >= stable_from]
    record.note('v2', runs=len(runs), bad=len(bad))
    if len(bad) < 50:
        return True
    limit = bad[49] + mesh2.BOUNDS['RollbackMs'] / 1000
    sent_at_by_id = {entry[1]: entry[0] for entry in load.sent}
    late = [run for run in runs if sent_at_by_id.get(run[1], 0) > limit]
    record.note(
        'result',
        fiftieth_bad_answer=f'{bad[49] - record.started:.3f}',
        sent_too_late=len(late),
        last=f'{(late or runs)[-1][0] - record.started:.3f}',
    )
    return not late


if __name__ == '__main__':
    mesh2.run_case(__file__, case)
