"""Command line of hemlockctl, the tool of the operators."""

import datetime
import os
import sys
from typing import Any

import attrs
import fire
from fire import decorators
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

# Without it, fire reads arguments as Python: `1.10` would be a number, and
# `booking#x` the name booking with a comment.
_TAKES_TEXTS = decorators.SetParseFn(str)


@attrs.define
class _Context:
    """Options that apply to every command.

    Attributes:
        as_json: Whether results are printed as JSON instead of text.
        settings_path: Path of the client settings.
    """

    as_json: bool = False
    settings_path: str = DEFAULT_SETTINGS_PATH

    def run(self, coroutine_of) -> Any:
        """Runs a command and returns its result.

        Args:
            coroutine_of: Returns the coroutine of the command when called
                with the client of the administration API.
        """
        settings = base.load(self.settings_path, client_settings.ClientSettings)

        async def call():
            # The import has to follow the installation of the asyncio reactor.
            from hemlockgrade.commands import client

            return await coroutine_of(client.AdministrationClient(settings))

        return event_loop.run(call)

    def show(self, value: Any, text: str):
        """Prints a result.

        Args:
            value: Printed as JSON if the option --json is given.
            text: Printed otherwise.
        """
        if self.as_json:
            print(serialization.to_json(value).decode(), flush=True)
        else:
            print(text, flush=True)


class Labels:
    """Sets, removes and lists labels."""

    def __init__(self, context: _Context):
        self._context = context

    @_TAKES_TEXTS
    def set(self, name, kind, members):
        """Creates or replaces a label.

        Example: hemlockctl labels set edge --kind proxy --members 'host-*'

        Args:
            name: Name of the label.
            kind: target or proxy.
            members: Patterns of identifiers of targets or proxies, separated by
                commas.
        """
        from hemlockgrade.commands import labels

        response = self._context.run(
            lambda api: labels.set_label(api, name, kind, members.split(','))
        )
        self._context.show(
            response, f'label {name} set by version {response["accepted"]}'
        )

    @_TAKES_TEXTS
    def remove(self, name):
        """Removes a label; no selector may use the label.

        Example: hemlockctl labels remove edge
        """
        from hemlockgrade.commands import labels

        response = self._context.run(lambda api: labels.remove_label(api, name))
        self._context.show(
            response, f'label {name} removed by version {response["accepted"]}'
        )

    def list(self):
        """Lists all labels.

        Example: hemlockctl labels list
        """
        from hemlockgrade.commands import labels

        listed_labels = self._context.run(labels.list_labels)
        rows = [
            (label['name'], label['kind'], ', '.join(label['members']))
            for label in listed_labels
        ]
        self._context.show(
            listed_labels, _table(rows, 'label', 'kind', 'members')
        )


class Selectors:
    """Applies, shows, lists and removes selectors."""

    def __init__(self, context: _Context):
        self._context = context

    @_TAKES_TEXTS
    def apply(self, file):
        """Creates or replaces the labels and selectors of a JSON file.

        Example: hemlockctl selectors apply booking.json
        """
        from hemlockgrade.commands import selectors

        results = self._context.run(lambda api: selectors.apply_file(api, file))
        rows = [(result['object'], result['version']) for result in results]
        self._context.show(results, _table(rows, 'object', 'version'))

    @_TAKES_TEXTS
    def shares(self, name, shares, agreed_by=None):
        """Sets the traffic shares of versions; starts a rollout of a new one.

        Example: hemlockctl selectors shares booking v2=100 --agreed-by +30m

        Args:
            name: Name of the selector.
            shares: VERSION=PERCENT, separated by commas.
            agreed_by: Time by which the rollout has to end: +90s, +10m, +2h
                or an ISO 8601 time with a time zone.
        """
        from hemlockgrade.commands import selectors

        response = self._context.run(
            lambda api: selectors.set_shares(api, name, shares, agreed_by)
        )
        self._context.show(
            response, f'selector {name} set by version {response["accepted"]}'
        )

    @_TAKES_TEXTS
    def show(self, name):
        """Shows one selector.

        Example: hemlockctl selectors show booking
        """
        from hemlockgrade.commands import selectors

        selector = self._context.run(
            lambda api: selectors.show_selector(api, name)
        )
        self._context.show(selector, _table(selector.items(), 'field', 'value'))

    def list(self):
        """Lists all selectors.

        Example: hemlockctl selectors list
        """
        from hemlockgrade.commands import selectors

        listed_selectors = self._context.run(selectors.list_selectors)
        rows = [
            (
                selector['name'],
                selector['service'],
                ', '.join(route['path_prefix'] for route in selector['routes']),
                _format_shares(selector['shares_by_version']),
            )
            for selector in listed_selectors
        ]
        self._context.show(
            listed_selectors,
            _table(rows, 'selector', 'service', 'routes', 'shares'),
        )

    @_TAKES_TEXTS
    def remove(self, name):
        """Removes a selector and its routes.

        Example: hemlockctl selectors remove booking
        """
        from hemlockgrade.commands import selectors

        response = self._context.run(
            lambda api: selectors.remove_selector(api, name)
        )
        self._context.show(
            response,
            f'selector {name} removed by version {response["accepted"]}',
        )


class Rollouts:
    """Lists and watches the rollouts of new versions."""

    def __init__(self, context: _Context):
        self._context = context

    def list(self):
        """Lists the latest rollout of each selector.

        Example: hemlockctl rollouts list
        """
        from hemlockgrade.commands import rollouts

        listed_rollouts = self._context.run(rollouts.list_rollouts)
        rows = [
            (
                rollout['selector'],
                rollout['new_version'],
                rollout['state'],
                f'{rollout["progress_permille"] / 10:.1f}%',
                rollout['reason'],
            )
            for rollout in listed_rollouts
        ]
        self._context.show(
            listed_rollouts,
            _table(rows, 'selector', 'version', 'state', 'progress', 'reason'),
        )

    @_TAKES_TEXTS
    def watch(self, selector):
        """Prints the progress of a rollout until the rollout ends.

        The exit code is 0 if the rollout is done and 9 if it was rolled back.

        Example: hemlockctl rollouts watch booking
        """
        from hemlockgrade.commands import rollouts

        async def print_progress(api):
            async for rollout in rollouts.watch_rollout(api, selector):
                self._context.show(
                    rollout,
                    f'{_format_time()} {rollout["selector"]} '
                    f'{rollout["new_version"]} {rollout["state"]} '
                    f'{rollout["progress_permille"] / 10:.1f}% '
                    f'{rollout["reason"]}',
                )

        self._context.run(print_progress)


class Commands:
    """Configures a service mesh by labels and selectors.

    Options of every command: --json prints JSON; --settings FILE is the
    settings file. The default is the value of the environment variable
    HEMLOCKCTL_SETTINGS, or else hemlockctl.json.
    """

    def __init__(self, context: _Context):
        self._context = context
        self.labels = Labels(context)
        self.selectors = Selectors(context)
        self.rollouts = Rollouts(context)

    def status(self):
        """Shows the state of each daemon and of each target.

        Example: hemlockctl status
        """
        from hemlockgrade.commands import overview

        system_status = self._context.run(overview.status)
        daemons = [
            (
                daemon.get('daemon_id', daemon['address']),
                daemon.get('failure_domain', ''),
                daemon.get('version', 'unreachable'),
                daemon.get('configuration', ''),
                ', '.join(daemon.get('leases', [])),
            )
            for daemon in system_status['daemons']
        ]
        targets = [
            (
                target['target_id'],
                target['service'],
                target['version'],
                target['failure_domain'],
                target['state'],
            )
            for target in system_status['targets']
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
        self._context.show(system_status, text)

    @_TAKES_TEXTS
    def explain(self, path):
        """Shows which route, selector and versions match a request.

        Example: hemlockctl explain /booking/faces/12
        """
        from hemlockgrade.commands import overview

        explanation = self._context.run(lambda api: overview.explain(api, path))
        self._context.show(
            explanation, _table(explanation.items(), 'field', 'value')
        )

    @_TAKES_TEXTS
    def timeline(self, about=None):
        """Shows the events of all daemons in causal order.

        Example: hemlockctl timeline --about booking

        Args:
            about: If given, only events with this value in a field.
        """
        from hemlockgrade.commands import overview

        events = self._context.run(
            lambda api: overview.merged_timeline(api, about)
        )
        rows = [
            (
                _format_time(timeline.to_unix_time(event.time)),
                event.process,
                event.kind,
                ' '.join(
                    f'{key}={value}' for key, value in event.fields.items()
                ),
            )
            for event in events
        ]
        self._context.show(
            events, _table(rows, 'time', 'process', 'event', 'fields')
        )

    @_TAKES_TEXTS
    def check(self, file):
        """Lists all errors in a file of labels and selectors; sends nothing.

        Example: hemlockctl check booking.json
        """
        count = files.check_file(file)
        self._context.show({'objects': count}, f'{count} objects, no errors')


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        arguments: Command-line arguments; those of the process by default.
    """
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    logger.remove()
    context = _pop_options(arguments)
    try:
        fire.Fire(Commands(context), command=arguments, name='hemlockctl')
    except exceptions.HemlockError as error:
        _print_error(context, error)
        return error.exit_code
    return 0


def _pop_options(arguments: list[str]) -> _Context:
    """Removes the options of every command from the arguments, and parses them.

    The options may be at any position in the arguments.
    """
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
            'problems': [
                str(single_error) for single_error in error.single_errors()
            ],
            'remedy': error.remedy,
        }
        print(serialization.to_json(value).decode())
        return
    if not isinstance(error, ExceptionGroup):
        print(f'error: {error}', file=sys.stderr)
        return
    print(f'error: {error.message}', file=sys.stderr)
    for single_error in error.single_errors():
        print(f'  {single_error}', file=sys.stderr)


def _table(rows, *headers: str) -> str:
    return tabulate.tabulate(list(rows), headers=headers)


def _format_shares(shares: dict[str, int]) -> str:
    return ', '.join(f'{version}={share}%' for version, share in shares.items())


def _format_time(unix_time: float | None = None) -> str:
    """Returns the local time of day of a Unix time, by default of now."""
    local_time = (
        datetime.datetime.now()
        if unix_time is None
        else datetime.datetime.fromtimestamp(unix_time)
    )
    return local_time.strftime('%H:%M:%S.%f')[:-3]


def run():
    """Entry point of the console script."""
    sys.exit(main())


if __name__ == '__main__':
    run()
