"""Plug-in that writes kernel events to the time line of the daemon."""

import time

from hemlockgrade import configuration
from hemlockgrade import model
from hemlockgrade import timeline


class TimelineEvents:
    """Records configuration, membership, rollouts, drain and shutdown.

    Requests are left out: at 244 passes a second they would push every
    other event out of the buffer within seconds.
    """

    def __init__(self, time_line: timeline.Timeline):
        self._time_line = time_line

    def on_startup(self, daemon_id: str):
        """Records the start."""
        self._time_line.record('startup', daemon=daemon_id)

    def on_configuration_applied(
        self, applied: configuration.Configuration, changes: list[model.Change]
    ):
        """Records each change, or the version of a full copy."""
        if not changes:
            self._time_line.record('snapshot_applied', version=applied.version)
        for change in changes:
            self._time_line.record(
                'change_applied',
                version=change.number,
                change=str(change.kind),
                name=change.name,
                author=change.author,
                epoch=change.epoch,
                delay_s=round(time.time() - change.written_at, 3),
            )

    def on_members_changed(self, targets: list[model.Target]):
        """Records the new state of each target."""
        for target in targets:
            self._time_line.record(
                'target_changed',
                target=target.target_id,
                state=target.state.name.lower(),
                incarnation=target.incarnation,
                version=target.version,
            )

    def on_rollout_changed(self, rollout: model.Rollout):
        """Records the state of a rollout."""
        self._time_line.record(
            'rollout_changed',
            selector=rollout.selector,
            state=str(rollout.state),
            progress_permille=rollout.progress_permille,
            new_version=rollout.new_version,
            reason=rollout.reason,
        )

    def on_drain(self, daemon_id: str):
        """Records the begin of a graceful shutdown."""
        self._time_line.record('drain', daemon=daemon_id)

    def on_shutdown(self, daemon_id: str):
        """Records the end."""
        self._time_line.record('shutdown', daemon=daemon_id)
