"""Plug-in that records the events of the kernel in the daemon's time line."""

import time

from hemlockgrade import kernel
from hemlockgrade import model
from hemlockgrade import timeline


@kernel.register('events', 'timeline')
class TimelineEvents:
    """Records startup, configuration, members, rollouts, drain and shutdown.

    Requests are not recorded, because they would displace all other events from
    the buffer within seconds. The planned rate of one daemon is 244 requests
    per second: 122 of callers, and each request passes two daemons.
    """

    def __init__(self, time_line: timeline.Timeline):
        self._time_line = time_line

    def on_startup(self, daemon_id: str):
        """Records the start of the daemon."""
        self._time_line.record('startup', daemon=daemon_id)

    def on_configuration_applied(self, version: int, source: str):
        """Records that a version of the configuration was applied."""
        self._time_line.record(
            'configuration_applied', version=version, source=source
        )

    def on_definition_changed(self, definition: model.Definition):
        """Records that a label or a selector was applied.

        The clock is first advanced to the time at which the change was written
        on another host, so that the event is ordered after that change.
        """
        self._time_line.clock.observe(definition.written_at)
        self._time_line.record(
            'change_applied',
            version=definition.revision,
            name=definition.value.name,
            author=definition.author,
            delay_s=round(time.time() - definition.written_at, 3),
        )

    def on_definition_removed(self, key: str, revision: int):
        """Records that a label or a selector was removed."""
        self._time_line.record(
            'change_removed', version=revision, name=key.partition('.')[2]
        )

    def on_members_changed(self, member: model.Member):
        """Records the state of a daemon and its target after a change."""
        server = member.server
        self._time_line.record(
            'target_changed',
            daemon=member.name,
            target=server.server_id if server else '',
            state=str(server.state) if server else '',
            version=server.version if server else '',
            leaving=member.leaving,
        )

    def on_rollout_changed(self, share: model.VersionShare):
        """Records the state of a rollout after a change."""
        self._time_line.record(
            'rollout_changed',
            selector=share.key,
            state=str(share.state),
            progress_permille=share.permille,
            new_version=share.version,
            holder=share.holder,
            epoch=share.epoch,
            reason=share.reason,
        )

    def on_evacuation_changed(self, failure_domain: str, change: str):
        """Records the start or the end of an evacuation on this daemon."""
        self._time_line.record(
            'evacuation_changed', failure_domain=failure_domain, change=change
        )

    def on_drain(self, daemon_id: str):
        """Records that the daemon has started to drain."""
        self._time_line.record('drain', daemon=daemon_id)

    def on_shutdown(self, daemon_id: str):
        """Records the end of the daemon."""
        self._time_line.record('shutdown', daemon=daemon_id)
