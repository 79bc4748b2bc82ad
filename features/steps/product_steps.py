"""Steps for settings, selector files, plug-ins, the time line and the log."""

import io
import json
import pathlib
import re
import subprocess
import sys
import tempfile

import attrs
from behave import given
from behave import then
from behave import when
from loguru import logger

from features.steps import foreign_entries_steps
from hemlockgrade import exceptions
from hemlockgrade import kernel
from hemlockgrade import logs
from hemlockgrade import model
from hemlockgrade import timeline
from hemlockgrade.config import base
from hemlockgrade.config import client as client_settings
from hemlockgrade.config import daemon as daemon_settings
from standins import loopback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SECRET = 'short'
TOKEN = 'a-token-that-is-long-enough'


@given(
    'settings with an unknown key, a bad address, a short token and no failure domain'
)
def build_invalid_settings(context):
    context.settings = {
        'daemon_id': 'host-1',
        'proxy_address': 'localhost',
        'admission_address': '127.0.0.1:2',
        'administration_address': '127.0.0.1:4',
        'local_address': '127.0.0.1:5',
        'administration_token': SECRET,
        'store_address': '127.0.0.1:6',
        'color': 'red',
    }


@given('settings whose daemon_id has a line break')
def build_settings_with_line_break(context):
    build_invalid_settings(context)
    del context.settings['color']
    context.settings |= {
        'daemon_id': 'host\n1',
        'failure_domain': 'a',
        'proxy_address': '127.0.0.1:1',
        'administration_token': TOKEN,
    }


@given('a daemon with a drain timeout of {seconds:d} seconds')
def build_daemon(context, seconds):
    build_invalid_settings(context)
    del context.settings['color']
    context.settings |= {
        'failure_domain': 'a',
        'proxy_address': '127.0.0.1:1',
        'administration_token': TOKEN,
        'drain_timeout_s': seconds,
    }

    async def build():
        # The import needs the reactor that `loopback` has installed.
        from twisted.internet import reactor

        from hemlockgrade import daemon

        settings = base.structure(
            context.settings, daemon_settings.DaemonSettings
        )
        return daemon.Daemon(settings, reactor)

    context.daemon = loopback.run(build())


@when(
    'its settings are reloaded with {key} "{value}" and a drain timeout of {seconds:d} seconds'
)
def reload_settings(context, key, value, seconds):
    context.member_before = context.daemon._build_member()
    changed = {**context.settings, key: value, 'drain_timeout_s': seconds}
    foreign_entries_steps.capture_log(context)
    context.daemon.reload(
        base.structure(changed, daemon_settings.DaemonSettings)
    )


@then('its member is unchanged and the log names {key}')
def check_member_unchanged(context, key):
    member = context.daemon._build_member()
    assert member == context.member_before, member
    expected = f'event=settings_need_restart keys={key}\n'
    assert expected in context.log_lines, context.log_lines


@then('its drain timeout is {seconds:d} seconds')
def check_drain_timeout(context, seconds):
    assert context.daemon.settings.drain_timeout_s == seconds


@when('the settings are loaded')
def load_settings(context):
    try:
        base.structure(context.settings, daemon_settings.DaemonSettings)
    except exceptions.InvalidSettingsError as error:
        context.error = error


@then('the settings are refused with errors in the keys {keys}')
def check_refused_keys(context, keys):
    found = [each.args[0].split()[0] for each in context.error.single_errors()]
    assert found == keys.split(', '), found


@then('no settings error shows the token')
def check_token_hidden(context):
    assert SECRET not in str(context.error)


@when('the settings page is read')
def read_settings_page(context):
    page = (ROOT / 'docs/user/settings.md').read_text()
    context.documented_keys = re.findall(r'^\| `(\w+)` \| (.+?) \|', page, re.M)


@then('it lists the keys of the daemon and of the client with their defaults')
def check_documented_keys(context):
    expected = [
        (field.name, _default_text(field))
        for kind in (
            daemon_settings.DaemonSettings,
            client_settings.ClientSettings,
        )
        for field in attrs.fields(kind)
    ]
    assert context.documented_keys == expected, context.documented_keys


def _default_text(field):
    if field.default is attrs.NOTHING:
        return 'required'
    default = field.default
    if isinstance(default, tuple):
        default = list(default)
    return f'`{json.dumps(default)}`'


@given(
    'a file with an unknown label, shares of 90 percent and an agreed_by time in the past'
)
def write_invalid_file(context):
    context.directory = _temporary_directory(context)
    context.file = context.directory / 'booking.json'
    context.file.write_text(
        json.dumps(
            {
                'labels': [{'name': 'edge', 'kind': 'proxy', 'members': ['*']}],
                'selectors': [
                    {
                        'name': 'booking',
                        'proxies': 'edge',
                        'targets': 'no-such-label',
                        'service': 'booking',
                        'routes': [{'path_prefix': '/booking'}],
                        'shares_by_version': {'v1': 90},
                        'agreed_by': 1.0,
                    }
                ],
            }
        )
    )


@when('hemlockctl checks the file')
def check_file(context):
    _hemlockctl(context, 'check', str(context.file))


@given('client settings with the address of a daemon that does not run')
def write_client_settings(context):
    context.directory = _temporary_directory(context)
    (context.directory / 'hemlockctl.json').write_text(
        json.dumps(
            {
                'daemon_addresses': ['127.0.0.1:1'],
                'administration_token': TOKEN,
            }
        )
    )


@when('hemlockctl runs "{command}"')
def run_hemlockctl(context, command):
    _hemlockctl(
        context,
        '--settings',
        str(context.directory / 'hemlockctl.json'),
        command,
    )


def _hemlockctl(context, *arguments):
    context.result = subprocess.run(
        [sys.executable, '-m', 'hemlockgrade.ctl', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('hemlockctl exits with {code:d}')
def check_exit_code(context, code):
    assert context.result.returncode == code, context.result


@then('its output names {names}')
def check_output_names(context, names):
    for name in names.split(', '):
        assert f'  {name}: ' in context.result.stderr, context.result.stderr


@then('its output is one error line')
def check_one_error_line(context):
    lines = context.result.stderr.splitlines()
    assert len(lines) == 1, lines
    assert lines[0].startswith('error: daemon 127.0.0.1:1'), lines


@given('the example plug-in of the documentation and a plug-in that raises')
def register_plugins(context):
    page = (ROOT / 'docs/dev/plug-ins.md').read_text()
    code = re.search(r'```python\n(.*?)```', page, re.S)[1]
    namespace = {}
    exec(code, namespace)  # noqa: S102
    context.example_plugin = namespace['ChangesByAuthor'](time_line=None)

    class Failing:
        def on_definition_changed(self, definition):
            raise RuntimeError('fails')

    context.events = kernel.EventDispatcher()
    context.events.register_plugin(Failing())
    context.events.register_plugin(context.example_plugin)


@when('a configuration change by "{author}" is applied')
def apply_change(context, author):
    label = model.Label(name='edge', kind=model.LabelKind.PROXY, members=('*',))
    logger.remove()
    context.events.emit(
        'definition_changed',
        definition=model.Definition(value=label, author=author, revision=1),
    )


@then('the example plug-in has counted {count:d} change by "{author}"')
def check_count(context, count, author):
    assert context.example_plugin.counts_by_author[author] == count


@when('the balancer "{name}" is loaded')
def load_balancer(context, name):
    kernel.load_modules(daemon_settings.DEFAULT_PLUGINS)
    try:
        kernel.get_plugin('balancers', name)
    except exceptions.PluginError as error:
        context.error = error


@then('the plug-in error names "{name}"')
def check_plugin_error(context, name):
    assert name in context.error.remedy, context.error


@given('a process whose clock is {seconds:d} seconds behind another')
def build_time_lines(context, seconds):
    context.ahead = timeline.Timeline(
        'ahead', timeline.LogicalClock(lambda: 1000.0 + seconds)
    )
    context.behind = timeline.Timeline(
        'behind', timeline.LogicalClock(lambda: 1000.0)
    )


@when('the process ahead sends a message to the one behind, which replies')
def exchange_messages(context):
    context.ahead.record('send')
    sent = timeline.to_unix_time(context.ahead.clock.tick())
    context.behind.clock.observe(sent)
    context.behind.record('receive')
    context.behind.record('reply')


@then('the merged time line shows {kinds}')
def check_merged_events(context, kinds):
    merged = timeline.merge_events(
        [*context.behind.events(), *context.ahead.events()]
    )
    assert [event.kind for event in merged] == kinds.split(', ')


@given('a log that hides the token')
def configure_log(context):
    context.log = io.StringIO()
    logs.configure('host-1', 'info', (TOKEN,), context.log.write)


@when('a line with the token is logged')
def log_token(context):
    logger.info('event=call header={!r}', f'Bearer {TOKEN}')
    logger.remove()


@then('the log shows a placeholder instead of the token')
def check_placeholder(context):
    text = context.log.getvalue()
    assert TOKEN not in text and logs.REDACTED_TEXT in text, text


def _temporary_directory(context) -> pathlib.Path:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    return pathlib.Path(directory.name)
