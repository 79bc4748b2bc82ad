"""Case 9: a rollout is ordered right after another one was rolled back."""

import asyncio
import time

from review import mesh2

ORDERED_AFTER_S = 4.0
DURATION_S = 16
# The first new version turns bad this long after its order, in seconds.
BAD_AFTER_S = 9.5
BAD_SHARE = 0.12
# The next order follows this long after the status `rolled_back`, and the
# servers of the version that was rolled back leave after this time, in seconds.
NEXT_ORDER_AFTER_S = 0.4
LEAVES_AFTER_S = 4.0
RATE_PER_S = 130
SLOTS = 8
# Servers of one service differ in speed.
WORK_S_BY_VERSION = {'v1': 0.15, 'v2': 0.075, 'v3': 0.15}


def order(version: str) -> dict:
    """Builds an order."""
    return {
        'Service': 'booking',
        'TargetVersion': version,
        'DurationS': DURATION_S,
    }


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
        await add_server(mesh, name, 'v1')
    await mesh.wait_until_ready(old)
    load = mesh2.Load(mesh, old, RATE_PER_S)
    load.start()
    await asyncio.sleep(ORDERED_AFTER_S)

    ordered_at = time.monotonic()
    store.write('rollouts', 'booking', order('v2'))
    record.note('ordered', version='v2', duration_s=DURATION_S)
    bad = [f'm{zone}2' for zone in 'abc']
    for name in bad:
        await add_server(
            mesh,
            name,
            'v2',
            bad_from=ordered_at + BAD_AFTER_S,
            bad_share=BAD_SHARE,
        )
    while state(store) != 'rolled_back':
        await asyncio.sleep(0.05)
    rolled_back_at = time.monotonic()
    record.note('rolled_back', version='v2')
    leaving = asyncio.create_task(leave(mesh, bad))
    if mesh2.is_troubled():
        await asyncio.sleep(NEXT_ORDER_AFTER_S)
        store.write('rollouts', 'booking', order('v3'))
        record.note('ordered', version='v3', duration_s=DURATION_S)
        for zone in 'abc':
            await add_server(mesh, f'm{zone}3', 'v3')
    await leaving
    await asyncio.sleep(
        max(0.0, ordered_at + DURATION_S + 1 - time.monotonic())
    )
    await load.stop()
    return judge(mesh, bad, ordered_at, rolled_back_at)


async def add_server(mesh, name, version, **options):
    """Adds a machine with a server in the zone that its name says."""
    await mesh.add_server(
        name,
        f'zone-{name[1]}',
        version,
        'booking',
        slots=SLOTS,
        work_s=WORK_S_BY_VERSION[version],
        **options,
    )


def state(store) -> str:
    """Returns the state of the order."""
    status = (store.get('rollouts', 'booking') or {}).get('Status') or {}
    return status.get('State', '')


async def leave(mesh, names):
    """Lets servers drain and end."""
    await asyncio.sleep(LEAVES_AFTER_S)
    servers = [mesh.server_by_name[name] for name in names]
    await asyncio.gather(*(server.drain() for server in servers))
    mesh.record.note('draining', version='v2')
    await asyncio.sleep(mesh2.BOUNDS['DrainMs'] / 1000 + 0.5)
    for server in servers:
        await server.deregister()
        server.stop()


def judge(mesh, bad, ordered_at, rolled_back_at) -> bool:
    """Judges the first clause of EXPOSURE.

    The bad version gets at most `ExposeShare` of all requests that reach its
    service between the order and its time budget, and `ExposeSlack` more.
    """
    record = mesh.record
    ends_at = ordered_at + DURATION_S
    total = of_bad = after = 0
    for name, server in mesh.server_by_name.items():
        for at, request_id, status in server.run_times:
            record.write(
                'ran',
                request=request_id,
                at=f'{at - record.started:.3f}',
                version=server.version,
                status=status,
            )
            if ordered_at <= at <= ends_at:
                total += 1
                of_bad += name in bad
                after += name in bad and at > rolled_back_at + 1.0
    allowed = mesh2.BOUNDS['ExposeShare'] * total + mesh2.BOUNDS['ExposeSlack']
    record.note(
        'result',
        requests=total,
        of_v2=of_bad,
        of_v2_over_a_second_after_rolled_back=after,
        allowed=f'{allowed:.0f}',
    )
    return of_bad <= allowed


if __name__ == '__main__':
    mesh2.run_case(__file__, case)
