"""Case 7: a late heartbeat of a server that left reaches a restarted daemon."""

import asyncio
import time

from review import mesh2

RATE_PER_S = 60
# Times after the server has left, in seconds.
KILLED_AFTER_S = 0.3
STORE_BACK_AFTER_S = 4.3
SERVER_ENDS_AFTER_S = 16.0
# Delay of the heartbeat without the disruption, in seconds.
LATE_S = 1.1


async def case(mesh: mesh2.Mesh) -> bool:
    """Runs the case and returns whether DRAIN held."""
    record, store = mesh.record, mesh.store
    store.write(
        'config',
        'main',
        mesh2.configuration(16, mesh2.route('r1', '/shop/', 'booking')),
    )
    names = [f'm{zone}1' for zone in 'abc']
    for name in names:
        await mesh.add_server(name, f'zone-{name[1]}', 'v1', 'booking')
    await mesh.wait_until_ready(names)
    load = mesh2.Load(mesh, names, RATE_PER_S)
    load.start()
    await asyncio.sleep(6.0)

    server = mesh.server_by_name['mb1']
    machine = mesh.machine_by_name['mb1']
    late_heartbeat = server.heartbeat_body()
    late_since = time.monotonic()
    status = await server.deregister()
    left_at = time.monotonic()
    record.note('left', server=server.server_id, status=status)
    stable_at = left_at
    if mesh2.is_troubled():
        await asyncio.sleep(KILLED_AFTER_S)
        store.is_away = True
        store.cut_connections()
        await machine.restart()
        record.note('restarted', machine='mb1')
    else:
        await asyncio.sleep(LATE_S)
    while not await server.send_heartbeat(late_heartbeat):
        await asyncio.sleep(0.1)
    late_s = time.monotonic() - late_since
    record.note('late_heartbeat', seconds=f'{late_s:.2f}')
    if mesh2.is_troubled():
        await asyncio.sleep(left_at + STORE_BACK_AFTER_S - time.monotonic())
        store.is_away = False
        stable_at = time.monotonic()
        record.note('store_back')
    await asyncio.sleep(left_at + SERVER_ENDS_AFTER_S - time.monotonic())
    server.stop()
    record.note('server_ended')
    await load.stop()
    return judge(mesh, load, server, left_at, stable_at)


def judge(mesh, load, server, left_at, stable_at) -> bool:
    """Judges DRAIN.

    No request reaches the server later than `DrainMs` after the leave was
    acknowledged, taken and sent on by machines in touch.
    """
    record = mesh.record
    entry_by_id = {entry[1]: entry for entry in load.sent}
    limit = left_at + mesh2.BOUNDS['DrainMs'] / 1000
    contact_s = mesh2.BOUNDS['ContactMs'] / 1000
    beside = mesh.machine_by_name['mb1']
    late = []
    for at, request_id, status in server.run_times:
        sent_at, _, name, _ = entry_by_id[request_id]
        record.write(
            'ran',
            request=request_id,
            at=f'{at - record.started:.3f}',
            server=server.server_id,
            status=status,
        )
        if (
            at > limit
            and sent_at >= stable_at + contact_s
            and mesh.machine_by_name[name].is_in_touch(sent_at)
            and beside.is_in_touch(sent_at)
        ):
            late.append(at)
    record.note(
        'result',
        runs_over_drain_ms_after_the_leave=sum(
            at > limit for at, _, _ in server.run_times
        ),
        of_these_by_machines_in_touch=len(late),
    )
    return not late


if __name__ == '__main__':
    mesh2.run_case(__file__, case)
