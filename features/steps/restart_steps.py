"""Steps for requests whose server's daemon restarts, over loopback sockets."""

import asyncio

import attrs
from behave import then
from behave import when

from hemlockgrade import ledger
from standins import loopback


@when(
    'the daemon beside the server of a {method} request restarts {count:d} times before the response'
)
def restart_daemon_of_running_request(context, method, count):
    async def run():
        async with loopback.LoopbackSystem(2) as system:
            task = asyncio.ensure_future(
                system.send_request(method, '/x?ms=300')
            )
            while not any(target.running for target in system.targets):
                await asyncio.sleep(0.002)
            number = [bool(t.running) for t in system.targets].index(True)
            for _ in range(count):
                restart_daemon(system, number)
            system.relays[number].close_connections()
            response = await task
            return response.status, system.runs_by_path()

    context.status, context.run_count_by_path = loopback.run(run())


def restart_daemon(system, number):
    """Replaces the ledger of a daemon, and its member at the caller's daemon.

    Args:
        system: The running system.
        number: Number of the daemon's host, from 0.
    """
    member = system.directory.member_by_name[f'target-{number}']
    boot_id = f'{member.boot_id}-restarted'
    system.hosts[number].admission.ledger = ledger.AttemptLedger(boot_id)
    system.directory.apply_member(
        attrs.evolve(member, boot_id=boot_id, revision=member.revision + 10),
        'test',
    )


@then('the caller got status {status:d} and the request ran {count:d} times')
def check_status_and_runs(context, status, count):
    assert context.status == status, (context.status, context.run_count_by_path)
    assert context.run_count_by_path == {'/x': count}, context.run_count_by_path
