"""Case 6: callers ask for paths that the daemons use among themselves."""

import asyncio

from review import mesh2

# Paths that a route with the prefix / serves like any others.
PATHS = ('/.hemlock/state', '/.hemlock/versions', '/.hemlock/evidence')
ORDINARY_PATHS = ('/.well-known/state', '/docs/versions', '/docs/evidence')
REQUESTS_PER_PATH = 20


async def case(mesh: mesh2.Mesh) -> bool:
    """Runs the case and returns whether MIXED held."""
    record = mesh.record
    mesh.store.write(
        'config',
        'main',
        mesh2.configuration(16, mesh2.route('r1', '/', 'booking')),
    )
    names = [f'm{zone}1' for zone in 'abc']
    for name in names:
        await mesh.add_server(name, f'zone-{name[1]}', 'v1', 'booking')
    # A machine of another service: its requests go to other machines.
    mesh.add_machine('front', 'zone-a', 'front')
    await mesh.wait_until_ready([*names, 'front'])
    await asyncio.sleep(2.0)

    wrong = 0
    for path in PATHS if mesh2.is_troubled() else ORDINARY_PATHS:
        for number in range(REQUESTS_PER_PATH):
            request_id = f'{path[-5:]}-{number}'
            status, headers, body = await mesh2.call(
                mesh.machine_by_name['front'].address('outbound'),
                'GET',
                path,
                {
                    'host': mesh2.HOST_NAME,
                    'x-request-id': request_id,
                    'x-deadline-ms': '2000',
                },
            )
            stamp = headers.get('x-server-stamp', '')
            record.write(
                'answered',
                request=request_id,
                path=path,
                status=status,
                stamp=stamp or '-',
                body_bytes=len(body),
                body=body[:60],
            )
            is_success = 200 <= status < 300
            wrong += is_success and not stamp.endswith(f'.{request_id}')
            await asyncio.sleep(0.02)
    ran = {
        run[1]
        for server in mesh.server_by_name.values()
        for run in server.run_times
    }
    for request_id in sorted(ran):
        record.write('ran', request=request_id)
    record.note(
        'result',
        successes_without_stamp=wrong,
        run_by_servers=len(ran),
    )
    return not wrong


if __name__ == '__main__':
    mesh2.run_case(__file__, case)
