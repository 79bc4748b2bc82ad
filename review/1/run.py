"""A caller's request is run again after the daemon beside its server restarts.

`h-caller` sends a request that may run once to the server of `h-first`. The
connection between the two daemons falls silent, and the daemon of `h-first` is
killed and started again. `h-caller` may not send the request to `h-second`.
"""

import asyncio
import collections
import pathlib
import signal

from review import mesh as mesh_module

# Work of the request, in seconds.
WORK_S = 0.3
# Times since the request was sent, in seconds: the connection falls silent
# after the server has got the request, and the daemon is killed after the
# server has answered.
SILENT_AT_S = 0.15
KILLED_AT_S = 0.4
# Time from the silence until keepalive probes end the connection, in seconds.
# `h-caller` sets the options TCP_USER_TIMEOUT (2 s), TCP_KEEPIDLE (1 s),
# TCP_KEEPINTVL (1 s) and TCP_KEEPCNT (2), so that takes 2 to 3 s. The relay
# stands for the network and acknowledges probes, so it ends the connection.
PROBES_FAIL_AFTER_S = 2.5
# Figures of `slot-hold` at bvmoma-mesh-large.
TIMEOUT_MS = 5000
TARGET_MS = 2712
BUDGET_MS = 10_037


async def play(mesh: mesh_module.Mesh) -> bool:
    """Returns whether the request ran at most once."""
    mesh.configure(
        1,
        mesh_module.build_route(
            'hold', '/hold/', 'non_idempotent', TIMEOUT_MS, TARGET_MS
        ),
    )
    relay = mesh_module.Relay(mesh_module.free_address(), '')
    first = await mesh.add_daemon('h-first', 'z1')
    relay.target = first.addresses['admission_address']
    await relay.start()
    mesh.stack.callback(relay.close)
    # Other hosts reach `h-first` over the relay.
    mesh.store.faults['replace'] = {relay.target: relay.address}
    second = await mesh.add_daemon('h-second', 'z2')
    caller = await mesh.add_daemon('h-caller', 'z1', service='feepermit')
    for daemon in (first, second):
        await mesh.add_server(daemon, work_s=WORK_S)
    await mesh.add_server(caller, service='feepermit')
    await mesh.wait_until_serving()
    # Opens the connection that the next request uses.
    _, status, _ = await mesh.call(caller, '/hold/0', 'POST', BUDGET_MS)
    if status != 200:
        raise mesh_module.NotRunnableError('the first request fails')
    answer = asyncio.create_task(
        mesh.call(caller, '/hold/1', 'POST', BUDGET_MS)
    )
    await asyncio.sleep(SILENT_AT_S)
    if mesh_module.has_trouble():
        relay.silence_open()
        mesh.record.add('connections_silent', between='h-caller,h-first')
        asyncio.get_running_loop().call_later(
            PROBES_FAIL_AFTER_S, relay.reset_silent
        )
        await asyncio.sleep(KILLED_AT_S - SILENT_AT_S)
        first.signal(signal.SIGKILL)
        await first.wait()
        await asyncio.sleep(mesh_module.RESTART_DELAY_S)
        await first.start()
    request_id, _, _ = await answer
    # A late run would be a run, too.
    await asyncio.sleep(1)
    runs = collections.Counter(
        run for server in mesh.servers for run, _ in server.runs
    )
    mesh.record.add(
        'runs_of_request', request=request_id, runs=runs[request_id]
    )
    if not runs[request_id]:
        raise mesh_module.NotRunnableError('the request did not run')
    return runs[request_id] == 1


if __name__ == '__main__':
    mesh_module.run_case(play, pathlib.Path(__file__).resolve().parent)
