"""hemlockctl: the operators' command-line tool."""

import datetime
import os
import sys
from typing import Any

import attrs
import fire
from loguru import logger
import tabulate

from hemlockgrade import event_loop
from hemlockgrade import exceptions
from hemlockgrade import serialization
from hemlockgrade import timeline
from hemlockgrade.commands import files
from hemlockgrade.config import base
from hemlockgrade.config import client as client_settings

DEFAULT_SETTINGS_PATH = 'hemlockctl.json'
SETTINGS_VARIABLE = 'HEMLOCKCTL_SETTINGS'


@attrs.define
class _Context:
    """Options that hold for every command.

    Attributes:
        as_json: Print JSON instead of text.
        settings_path: File with the client settings.
    """

    as_json: bool = False
    settings_path: str = DEFAULT_SETTINGS_PATH

    def run(self, coroutine_of) -> Any:
        """Runs a function of the client and returns its result."""
        settings = base.load(self.settings_path, client_settings.ClientSettings)

        async def call():
            # Imported here, because the reactor has to be installed first.
            from hemlockgrade.commands import client

            return await coroutine_of(client.AdministrationClient(settings))

        return event_loop.run(call)

    def show(self, value: Any, text: str):
        """Prints a result for a program or for a person."""
        if self.as_json:
            print(serialization.to_json(value).decode(), flush=True)
        else:
            print(text, flush=True)


class Labels:
    """Sets, removes and lists labels."""

    def __init__(self, context: _Context):
        self._context = context

    def set(self, name, kind, members):
        """Creates or replaces a label.

        Example: hemlockctl labels set edge --kind proxy --members 'host-*'

        Args:
            name: Name of the label.
            kind: target or proxy.
            members: Patterns over identifiers, separated by commas.
        """
        from hemlockgrade.commands import labels

        answer = self._context.run(
            lambda api: labels.set_label(
                api, str(name), kind, _text_list(members)
            )
        )
        self._context.show(
            answer, f'label {name} set by version {answer["accepted"]}'
        )

    def remove(self, name):
        """Removes a label that no selector uses.

        Example: hemlockctl labels remove edge
        """
        from hemlockgrade.commands import labels

        answer = self._context.run(
            lambda api: labels.remove_label(api, str(name))
        )
        self._context.show(
            answer, f'label {name} removed by version {answer["accepted"]}'
        )

    def list(self):
        """Lists all labels.

        Example: hemlockctl labels list
        """
        from hemlockgrade.commands import labels

        found = self._context.run(labels.list_labels)
        rows = [(x['name'], x['kind'], ', '.join(x['members'])) for x in found]
        self._context.show(found, _table(rows, 'label', 'kind', 'members'))


class Selectors:
    """Applies, shows, lists and removes selectors."""

    def __init__(self, context: _Context):
        self._context = context

    def apply(self, file):
        """Sends the labels and selectors of a JSON file.

        Example: hemlockctl selectors apply booking.json
        """
        from hemlockgrade.commands import selectors

        results = self._context.run(
            lambda api: selectors.apply_file(api, str(file))
        )
        rows = [(r['object'], r['version']) for r in results]
        self._context.show(results, _table(rows, 'object', 'version'))

    def shares(self, name, shares, agreed_by=None):
        """Sets the traffic shares; a new version starts a rollout.

        Example: hemlockctl selectors shares booking v2=100 --agreed-by +30m

        Args:
            name: Name of the selector.
            shares: VERSION=PERCENT, separated by commas.
            agreed_by: +90s, +10m, +2h or an ISO 8601 time with its zone.
        """
        from hemlockgrade.commands import selectors

        text = ','.join(_text_list(shares))
        answer = self._context.run(
            lambda api: selectors.set_shares(api, str(name), text, agreed_by)
        )
        self._context.show(
            answer, f'selector {name} set by version {answer["accepted"]}'
        )

    def show(self, name):
        """Shows one selector.

        Example: hemlockctl selectors show booking
        """
        from hemlockgrade.commands import selectors

        found = self._context.run(
            lambda api: selectors.show_selector(api, str(name))
        )
        self._context.show(found, _table(found.items(), 'field', 'value'))

    def list(self):
        """Lists all selectors.

        Example: hemlockctl selectors list
        """
        from hemlockgrade.commands import selectors

        found = self._context.run(selectors.list_selectors)
        rows = [
            (
                x['name'],
                x['service'],
                ', '.join(r['path_prefix'] for r in x['routes']),
                _shares_text(x['shares_by_version']),
            )
            for x in found
        ]
        self._context.show(
            found, _table(rows, 'selector', 'service', 'routes', 'shares')
        )

    def remove(self, name):
        """Removes a selector and with it its routes.

        Example: hemlockctl selectors remove booking
        """
        from hemlockgrade.commands import selectors

        answer = self._context.run(
            lambda api: selectors.remove_selector(api, str(name))
        )
        self._context.show(
            answer, f'selector {name} removed by version {answer["accepted"]}'
        )


class Rollouts:
    """Lists and watches the rollouts of new versions."""

    def __init__(self, context: _Context):
        self._context = context

    def list(self):
        """Lists the last rollout of each selector.

        Example: hemlockctl rollouts list
        """
        from hemlockgrade.commands import rollouts

        found = self._context.run(rollouts.list_rollouts)
        rows = [
            (
                x['selector'],
                x['new_version'],
                x['state'],
                f'{x["progress_permille"] / 10:.1f}%',
                x['reason'],
            )
            for x in found
        ]
        self._context.show(
            found,
            _table(rows, 'selector', 'version', 'state', 'progress', 'reason'),
        )

    def watch(self, selector):
        """Prints a rollout's progress until it has ended.

        Exits with 0 when it is done and with 9 when it was rolled back.

        Example: hemlockctl rollouts watch booking
        """
        from hemlockgrade.commands import rollouts

        async def follow(api):
            async for x in rollouts.watch_rollout(api, str(selector)):
                self._context.show(
                    x,
                    f'{_clock_text()} {x["selector"]} {x["new_version"]} '
                    f'{x["state"]} {x["progress_permille"] / 10:.1f}% '
                    f'{x["reason"]}',
                )

        self._context.run(follow)


class Commands:
    """Configuration of a service mesh by labels and selectors.

    Options for every command: --json prints JSON; --settings FILE names the
    settings (else the variable HEMLOCKCTL_SETTINGS, else hemlockctl.json).
    """

    def __init__(self, context: _Context):
        self._context = context
        self.labels = Labels(context)
        self.selectors = Selectors(context)
        self.rollouts = Rollouts(context)

    def status(self):
        """Shows each daemon's configuration version and each target.

        Example: hemlockctl status
        """
        from hemlockgrade.commands import overview

        found = self._context.run(overview.status)
        daemons = [
            (
                d.get('daemon_id', d['address']),
                d.get('failure_domain', ''),
                d.get('version', 'unreachable'),
                d.get('configuration', ''),
                ', '.join(d.get('leases', [])),
            )
            for d in found['daemons']
        ]
        targets = [
            (
                t['target_id'],
                t['service'],
                t['version'],
                t['failure_domain'],
                t['state'],
            )
            for t in found['targets']
        ]
        text = '\n\n'.join(
            [
                _table(
                    daemons,
                    'daemon',
                    'failure domain',
                    'version',
                    'configuration',
                    'leases',
                ),
                _table(
                    targets,
                    'target',
                    'service',
                    'version',
                    'failure domain',
                    'state',
                ),
            ]
        )
        self._context.show(found, text)

    def explain(self, path):
        """Tells which route, selector and version would serve a request.

        Example: hemlockctl explain /booking/faces/12
        """
        from hemlockgrade.commands import overview

        found = self._context.run(lambda api: overview.explain(api, str(path)))
        self._context.show(found, _table(found.items(), 'field', 'value'))

    def timeline(self, about=None):
        """Shows the events of all daemons in causal order.

        Example: hemlockctl timeline --about booking
        """
        from hemlockgrade.commands import overview

        events = self._context.run(
            lambda api: overview.merged_timeline(
                api, None if about is None else str(about)
            )
        )
        rows = [
            (
                _clock_text(timeline.to_unix_time(event.time)),
                event.process,
                event.kind,
                ' '.join(f'{k}={v}' for k, v in event.fields.items()),
            )
            for event in events
        ]
        self._context.show(
            events, _table(rows, 'time', 'process', 'event', 'fields')
        )

    def check(self, file):
        """Lists everything that is wrong in a file; sends nothing.

        Example: hemlockctl check booking.json
        """
        count = files.check_file(str(file))
        self._context.show({'objects': count}, f'{count} objects, no errors')


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    logger.remove()
    context = _take_options(arguments)
    try:
        fire.Fire(Commands(context), command=arguments, name='hemlockctl')
    except exceptions.HemlockError as error:
        _print_error(context, error)
        return error.exit_code
    return 0


def _take_options(arguments: list[str]) -> _Context:
    """Removes the options that hold for every command, wherever they stand."""
    context = _Context(
        settings_path=os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    )
    if '--json' in arguments:
        arguments.remove('--json')
        context.as_json = True
    if '--settings' in arguments[:-1]:
        index = arguments.index('--settings')
        context.settings_path = arguments[index + 1]
        del arguments[index : index + 2]
    return context


def _print_error(context: _Context, error: exceptions.HemlockError):
    if context.as_json:
        value = {
            'error': type(error).__name__,
            'problems': [str(part) for part in error.single_errors()],
            'remedy': error.remedy,
        }
        print(serialization.to_json(value).decode())
        return
    if not isinstance(error, ExceptionGroup):
        print(f'error: {error}', file=sys.stderr)
        return
    print(f'error: {error.message}', file=sys.stderr)
    for part in error.single_errors():
        print(f'  {part}', file=sys.stderr)


def _text_list(value: Any) -> list[str]:
    """Undoes the parsing of `a,b` into a tuple."""
    if isinstance(value, tuple | list):
        return [str(item) for item in value]
    return str(value).split(',')


def _table(rows, *headers: str) -> str:
    return tabulate.tabulate(list(rows), headers=headers)


def _shares_text(shares: dict[str, int]) -> str:
    return ', '.join(f'{v}={s}%' for v, s in shares.items())


def _clock_text(unix_time: float | None = None) -> str:
    moment = (
        datetime.datetime.now()
        if unix_time is None
        else datetime.datetime.fromtimestamp(unix_time)
    )
    return moment.strftime('%H:%M:%S.%f')[:-3]


def run():
    """Entry point of the console script."""
    sys.exit(main())


if __name__ == '__main__':
    run()
