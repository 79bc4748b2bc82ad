"""Queued requests reach a server long after its leave was acknowledged.

All slots of a server are in use, and more requests wait for a slot at the
daemon beside it. The server says that it is draining, and the daemon
acknowledges that. The other servers of the service are idle.
"""

import asyncio
import pathlib
import time

from review import mesh as mesh_module

# Bounds and figures of bvmoma-mesh-large.
DRAIN_S = 3.0
TIMEOUT_MS = 5000
TARGET_MS = 2712
BUDGET_MS = 10_037
SLOTS = 8
# Work of the requests that use the slots, and of the waiting ones. The site's
# mean is 992 ms and its largest 5,600 ms.
LONG_WORK_MS = 3600
WORK_MS = 992
WAITING = 4
# A quarter of the servers leaves, the largest share of `scale_in` there.
OTHER_SERVERS = 3
# The server goes on for this time after `DRAIN_S` and then exits.
SERVES_LONGER_S = 0.9


async def play(mesh: mesh_module.Mesh) -> bool:
    """Returns whether no request reached the server too late."""
    mesh.configure(
        1,
        mesh_module.build_route(
            'hold', '/hold/', 'non_idempotent', TIMEOUT_MS, TARGET_MS
        ),
    )
    daemon = await mesh.add_daemon('h-leaving', 'z1')
    others = [
        await mesh.add_daemon(f'h-other-{number}', 'z2')
        for number in range(OTHER_SERVERS)
    ]
    caller = await mesh.add_daemon('h-caller', 'z1', service='feepermit')
    for other in others:
        await mesh.add_server(other, slots=SLOTS)
    server = await mesh.add_server(daemon, slots=SLOTS)
    await mesh.add_server(caller, service='feepermit')
    await mesh.wait_until_serving()

    def hold(work_ms):
        return asyncio.create_task(
            mesh.call(caller, '/hold/x', 'POST', BUDGET_MS, work_ms=work_ms)
        )

    await asyncio.gather(*(hold(WORK_MS) for _ in range(3)))
    answers = [hold(LONG_WORK_MS) for _ in range(SLOTS)]
    await asyncio.sleep(0.1)
    answers += [hold(WORK_MS) for _ in range(WAITING)]
    await asyncio.sleep(0.1)
    acknowledged_at = time.monotonic()
    if mesh_module.has_trouble():
        if not await server.start_draining():
            raise mesh_module.NotRunnableError('the leave is not acknowledged')
        acknowledged_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + SERVES_LONGER_S)
        await server.leave()
    results = await asyncio.gather(*answers)
    late = [
        request_id
        for request_id, at in server.arrivals
        if mesh_module.has_trouble() and at > acknowledged_at + DRAIN_S
    ]
    lost = [request_id for request_id, status, _ in results if status != 200]
    mesh.record.add(
        'late_at_server', requests=','.join(late) or '-', bound_s=DRAIN_S
    )
    mesh.record.add('not_served', requests=','.join(lost) or '-')
    return not late


if __name__ == '__main__':
    mesh_module.run_case(play, pathlib.Path(__file__).resolve().parent)
