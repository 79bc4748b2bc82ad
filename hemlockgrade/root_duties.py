"""What a root relay does beside relaying: the lease on rollouts."""

import asyncio
from collections.abc import Callable
import contextlib
import time

from hemlockgrade import changelog
from hemlockgrade import configuration_task
from hemlockgrade import evidence
from hemlockgrade import exceptions
from hemlockgrade import lease
from hemlockgrade import membership_task
from hemlockgrade import platform_api
from hemlockgrade import rollout
from hemlockgrade import rollout_holder

LEASE_NAME = 'rollout'
# No step of a rollout is written for about this time when its holder dies.
LEASE_TERM_S = 3.0


class RootDuties:
    """Competes for the rollout lease while the daemon is a root.

    Only roots compete, because all evidence reaches the roots.
    """

    def __init__(
        self,
        *,
        daemon_id: str,
        address: str,
        platform: platform_api.Platform,
        change_log: changelog.ChangeLog,
        configurations: configuration_task.ConfigurationTask,
        members: membership_task.MemberTask,
        store: evidence.EvidenceStore,
        judge: rollout.Judge,
        recorded: Callable[..., None],
    ):
        """Joins the parts; `set_root` starts and stops the work.

        Args:
            daemon_id: Holder identifier in the lease.
            address: Control address in the lease.
            platform: Keeps the lease.
            change_log: Where the steps of rollouts are written.
            configurations: Owner of the configuration.
            members: Owner of the member table.
            store: Evidence of all proxies.
            judge: Judges new versions.
            recorded: Records an event of the time line.
        """
        self._daemon_id = daemon_id
        self._address = address
        self._platform = platform
        self._recorded = recorded
        self._keeper: lease.LeaseKeeper | None = None
        self._tasks: list[asyncio.Task] = []
        self._holder = rollout_holder.RolloutHolder(
            self,
            change_log,
            configurations,
            store,
            judge,
            time.time,
            members,
            author=daemon_id,
        )

    @property
    def holding(self) -> lease.Holding | None:
        """The rollout lease while it is held, or None."""
        return self._keeper.holding if self._keeper is not None else None

    async def set_root(self, is_root: bool) -> None:
        """Starts or stops competing for the lease."""
        if is_root and self._keeper is None:
            self._start()
        elif not is_root:
            await self.release()

    async def release(self) -> None:
        """Stops the work and gives the lease up."""
        keeper, self._keeper = self._keeper, None
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if keeper is not None:
            with contextlib.suppress(exceptions.HemlockError):
                await keeper.release()

    def _start(self) -> None:
        self._keeper = lease.LeaseKeeper(
            self._platform,
            LEASE_NAME,
            self._daemon_id,
            self._address,
            LEASE_TERM_S,
            on_acquired=lambda held: self._recorded(
                'lease_acquired', lease=LEASE_NAME, epoch=held.epoch
            ),
            on_lost=lambda: self._recorded('lease_lost', lease=LEASE_NAME),
        )
        self._tasks = [
            asyncio.create_task(self._keeper.run(), name='rollout lease'),
            asyncio.create_task(self._holder.run(), name='rollout holder'),
        ]
