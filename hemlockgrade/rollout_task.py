"""Rolls out new versions of services step by step.

Each rollout has one holder at a time: the daemon that decides on it and writes
the new version's traffic share to the store. The holder collects the response
statistics of all daemons of the service, raises the share in stages, and rolls
the version back if the judge finds a fault. Another daemon takes the rollout
over when the holder's lease expires.

In this module a share is a `model.VersionShare`, the stored state of a rollout.
"""

import asyncio
from collections.abc import Callable
import hashlib
import time
from typing import Any

import attrs
from loguru import logger
import orjson

from hemlockgrade import directory as directory_module
from hemlockgrade import evidence
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import peer_protocol
from hemlockgrade import revisions
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Interval between two decisions on a rollout, in seconds.
STEP_INTERVAL_S = 0.4
# The holder of a rollout renews its lease in the first step after it has not
# written the share for this time, in seconds.
LEASE_RENEWAL_INTERVAL_S = 1.0
# Another daemon may take a rollout over if its share has not been written for
# this time, in seconds, and the daemon's own delay has passed as well.
LEASE_DURATION_S = 2.5
# The daemons that may become the holder of a rollout are its candidates, in a
# fixed order. Each one waits this much longer than the one before it, in
# seconds, so that they do not all write at once.
CANDIDATE_DELAY_S = 0.4
# Longest delay of a candidate, in seconds.
MAX_CANDIDATE_DELAY_S = 4.0
# Time allowed for a daemon to send its response statistics, in seconds.
STATISTICS_TIMEOUT_S = 0.5
# Time after the start of the first stage in which servers of the new version
# may still be slower than later, in seconds. It is longer if they say so.
MIN_COLD_START_S = 2.0
# Longest time for which the holder waits until the servers of the new version
# have enough slots for the whole service, as a fraction of the rollout's time
# that was left when it became the holder.
SERVER_WAIT_TIME_FRACTION = 0.35
# Fraction of the users' limit on the share of a faulty version (exposed_share)
# that the first stage may use. The rest is left for a version that becomes
# faulty in a later stage.
FIRST_STAGE_EXPOSED_FRACTION = 0.6
# Responses of the new version, counted since this daemon became the holder,
# that are needed to start a stage after the first one, unless time is running
# out.
MIN_NEXT_STAGE_RESPONSES = 40
# Nominal fraction of the rollout's time that is reserved after the last stage.
# Servers of the other versions finish their requests in it.
RESERVED_TIME_FRACTION = 0.17


@attrs.frozen(kw_only=True)
class Stage:
    """A stage of a rollout, with a fixed traffic share of the new version.

    Attributes:
        permille: Traffic share of the new version, in thousandths of the
            service's requests. In a selector's rollout: progress, as in
            `model.VersionShare.permille`.
        time_fraction: Nominal length of the stage as a fraction of the
            rollout's time. The actual length depends on the time that is left
            at the start of the stage.
    """

    permille: int
    time_fraction: float


# The first stage is long and its share is below the users' limit, so that a
# version that is faulty from the start is found there. The later stages are
# short, so that a version that becomes faulty later is found before it has used
# up the limit. Before the last one, enough requests go to the other versions to
# tell a fault of the new version from one that all versions share.
STAGES = (
    Stage(permille=60, time_fraction=0.3),
    Stage(permille=200, time_fraction=0.08),
    Stage(permille=500, time_fraction=0.08),
    Stage(permille=600, time_fraction=0.07),
    Stage(permille=800, time_fraction=0.07),
    Stage(permille=1000, time_fraction=0.01),
)


@attrs.define(eq=False)
class Progress:
    """State of a rollout that its holder keeps in memory only.

    Attributes:
        stage: Index of the current stage in `STAGES`; -1 before the first one.
        stage_ends_at: Monotonic time of the planned end of the stage.
        finish_by: Monotonic time by which the outcome has to be reported.
        wait_for_servers_until: Monotonic time until which the start of the
            first stage waits for servers of the new version.
        trial: Test of the new version since this daemon became the holder.
        cold_until: Monotonic time until which servers of the new version may
            be slower because they have just started; None before the first
            stage.
        is_cold: True if they may be slower until the next step.
        statistics: Response statistics of all daemons since this daemon
            became the holder.
        totals: Totals of the latest step by version and route.
    """

    stage: int
    stage_ends_at: float
    finish_by: float
    wait_for_servers_until: float
    trial: evidence.Trial
    cold_until: float | None = None
    is_cold: bool = True
    statistics: evidence.EvidenceSums = attrs.field(
        factory=evidence.EvidenceSums
    )
    totals: evidence.Totals = attrs.field(factory=dict)


@attrs.define(eq=False, kw_only=True)
class RolloutTask:
    """Decides on the rollouts that this daemon holds.

    Attributes:
        host_name: Name of this daemon's host.
        store: Store of the orders and the traffic shares.
        directory: Known members and traffic shares.
        pool: Connections to all daemons, this one included.
        clock: Returns the monotonic time in seconds.
        judge: Finds faults in new versions.
        exposed_share: Largest fraction of a service's requests that a faulty
            version may get.
    """

    host_name: str
    store: object_store.ObjectStore
    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    judge: evidence.Judge
    exposed_share: float
    _order_by_key: dict[str, model.RolloutOrder] = attrs.field(factory=dict)
    _order_received_at_by_key: dict[str, float] = attrs.field(factory=dict)
    # Revision of each share and the monotonic time at which it was first seen.
    _share_seen_by_key: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _progress_by_key: dict[str, Progress] = attrs.field(factory=dict)
    # Monotonic time since which a decision that the store lost is known.
    _lost_decision_at_by_key: dict[str, float] = attrs.field(factory=dict)
    _share_written_at_by_key: dict[str, float] = attrs.field(factory=dict)
    _orders_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def apply_order_object(self, item: object_store.StoredItem) -> None:
        """Applies an operator's rollout order as it is stored.

        An order that cannot be decoded is logged and ignored.
        """
        try:
            order = platform_codec.decode_rollout_order(
                item.name,
                item.spec,
                item.status,
                item.revision,
                item.created_number,
            )
        except exceptions.InvalidFieldError as error:
            logger.error(
                'event=order_refused name={!r} revision={} problem={!r}',
                item.name,
                item.revision,
                str(error),
            )
            return
        self.apply_order(order)

    def apply_order(self, order: model.RolloutOrder) -> None:
        """Applies a rollout order, from an operator or from a selector."""
        known = self._order_by_key.get(order.key)
        if known is None or not _is_same_order(known, order):
            logger.info(
                'event=rollout_ordered service={} version={} duration_s={}',
                order.service,
                order.version,
                order.duration_s,
            )
            self._order_received_at_by_key[order.key] = self.clock()
        self._order_by_key[order.key] = order
        self._orders_changed.set()

    def remove_order_object(self, item: object_store.StoredItem) -> None:
        """Removes an operator's rollout order that was deleted in the store."""
        self.remove_order(item.name)

    def remove_order(self, key: str) -> None:
        """Removes a rollout order."""
        self._order_by_key.pop(key, None)

    async def run(self) -> None:
        """Decides on rollouts until the task is cancelled."""
        while True:
            orders = list(self._order_by_key.values())
            open_orders = [o for o in orders if not self._is_complete(o)]
            if not open_orders:
                self._orders_changed.clear()
                await self._orders_changed.wait()
                continue
            for order in open_orders:
                try:
                    await self._step(order)
                except exceptions.HemlockError as error:
                    logger.warning(
                        'event=rollout_step_failed service={} problem={!r}',
                        order.service,
                        str(error),
                    )
                except Exception:
                    # The fault of one rollout must not end the others.
                    logger.exception(
                        'event=rollout_step_failed service={}', order.service
                    )
            await asyncio.sleep(STEP_INTERVAL_S)

    def _is_complete(self, order: model.RolloutOrder) -> bool:
        """Returns whether a rollout needs no further steps.

        The outcome is then in the status of the order if the order requires
        that, otherwise in the share.
        """
        if not order.stores_outcome:
            share = self.directory.share_by_key.get(order.key)
            return (
                share is not None
                and _is_share_of_order(share, order)
                and share.state is not model.RolloutState.RUNNING
                and not self._is_unstored(order, share)
            )
        return (
            order.state
            in (model.RolloutState.DONE, model.RolloutState.ROLLED_BACK)
            and order.reported_version == order.version
        )

    async def _step(self, order: model.RolloutOrder):
        """Takes the next step of a rollout, if this daemon may take it.

        Acquires a rollout without a holder or with an expired lease. Decides on
        a rollout that this daemon holds, and reports its state.
        """
        share = self.directory.share_by_key.get(order.key)
        if share is None or not _is_share_of_order(share, order):
            await self._acquire(order, share)
            return
        if share.holder != self.host_name:
            self._progress_by_key.pop(order.key, None)
            if self._is_lease_expired(share) or self._must_restore(share):
                await self._acquire(order, share)
            return
        if self._is_unstored(order, share):
            await self._write_share(
                attrs.evolve(share, order_revision=order.identity)
            )
            share = self.directory.share_by_key[order.key]
        if share.state is not model.RolloutState.RUNNING:
            await self._report_state(order, share.state)
            return
        if order.state is None and order.stores_outcome:
            await self._report_state(order, model.RolloutState.RUNNING)
        await self._decide(order, share)

    def _is_lease_expired(self, share: model.VersionShare) -> bool:
        """Returns whether this daemon may take a rollout over from its holder.

        This is the case once the lease has expired and the delay of this
        candidate has passed. The lease runs from the time at which this daemon
        first saw the latest revision of the share.
        """
        now = self.clock()
        seen = self._share_seen_by_key.get(share.key)
        if seen is None or seen[0] != share.revision:
            self._share_seen_by_key[share.key] = (share.revision, now)
            return False
        return now - seen[1] > LEASE_DURATION_S + self._candidate_delay_s(
            share.key
        )

    def _is_unstored(
        self, order: model.RolloutOrder, share: model.VersionShare
    ) -> bool:
        """Returns whether the store lacks the known state of a rollout.

        It came back from a copy with an earlier state of the share or without
        it, or without its order, which has been written again since.
        """
        return (
            share.key in self.directory.unstored_share_keys
            or share.order_revision != order.identity
            or revisions.is_of_earlier_era(share.revision, order.revision)
        )

    def _must_restore(self, share: model.VersionShare) -> bool:
        """Returns whether this daemon has to store a decision that was lost.

        That is first up to the daemon that decided. The stored state may have
        another holder by now, which renews its lease and does not know of the
        decision, so the lease does not tell whether that daemon still runs.
        """
        if (
            share.state is model.RolloutState.RUNNING
            or share.key not in self.directory.unstored_share_keys
        ):
            self._lost_decision_at_by_key.pop(share.key, None)
            return False
        now = self.clock()
        known_at = self._lost_decision_at_by_key.setdefault(share.key, now)
        return now - known_at > LEASE_RENEWAL_INTERVAL_S + (
            self._candidate_delay_s(share.key)
        )

    def _candidate_delay_s(self, key: str) -> float:
        """Returns how long this daemon waits before it acquires a rollout.

        The candidates are all members. They are ordered by a hash of the
        rollout's key and the host's name, so that all daemons compute the same
        order.
        """

        def candidate_order(name: str) -> bytes:
            return hashlib.sha256(f'{key}/{name}'.encode()).digest()

        own = candidate_order(self.host_name)
        earlier = sum(
            candidate_order(name) < own
            for name in self.directory.member_by_name
        )
        return min(earlier * CANDIDATE_DELAY_S, MAX_CANDIDATE_DELAY_S)

    async def _acquire(
        self, order: model.RolloutOrder, share: model.VersionShare | None
    ):
        """Becomes the holder of a rollout.

        Takes over the share of a rollout that has started, or creates the
        share of a new rollout, which replaces that of an earlier order with
        the same key. Does nothing if the rollout is new and the delay of this
        candidate has not passed yet.

        Args:
            order: Order of the rollout.
            share: Known share of the same key; None if there is none.
        """
        now = self.clock()
        started = share is not None and _is_share_of_order(share, order)
        ordered_at = self._order_received_at_by_key.get(order.key, now)
        if not started and now < ordered_at + self._candidate_delay_s(
            order.key
        ):
            return
        if started and share is not None:
            new = attrs.evolve(
                share,
                holder=self.host_name,
                epoch=share.epoch + 1,
                order_revision=order.identity,
            )
        else:
            new = model.VersionShare(
                key=order.key,
                service=order.service,
                version=order.version,
                permille=0,
                state=model.RolloutState.RUNNING,
                holder=self.host_name,
                epoch=1 if share is None else share.epoch + 1,
                finish_by=time.time() + order.duration_s - (now - ordered_at),
                order_revision=order.identity,
                revision=0 if share is None else share.revision,
            )
        await self._write_share(new)
        self._progress_by_key.pop(order.key, None)
        logger.info(
            'event=rollout_held service={} version={} epoch={} permille={}',
            new.service,
            new.version,
            new.epoch,
            new.permille,
        )

    async def _write_share(self, share: model.VersionShare):
        """Writes a share if the store still has the revision it is based on.

        Creates it if the store has none.

        Raises:
            object_store.RevisionConflictError: The stored share has changed.
                If the error contains the stored share, it has been applied to
                the directory.
        """
        key = object_codec.key_of(share)
        spec = object_codec.encode(share)
        try:
            item = await self._replace_or_create(key, spec, share.revision)
        except object_store.RevisionConflictError as error:
            if error.current is not None:
                value = object_codec.decode_item_or_log(error.current)
                if isinstance(value, model.VersionShare):
                    self.directory.apply_share(value, 'conflict')
            raise
        self._share_written_at_by_key[share.key] = self.clock()
        logger.info(
            'event=rollout_step key={} version={} permille={} state={} '
            'epoch={} revision={}',
            share.key,
            share.version,
            share.permille,
            share.state,
            share.epoch,
            item.revision,
        )
        self.directory.apply_share(
            attrs.evolve(share, revision=item.revision), 'own'
        )

    async def _replace_or_create(
        self, key: str, spec: dict[str, Any], revision: int
    ) -> object_store.StoredItem:
        if revision:
            try:
                return await self.store.replace(
                    object_codec.MESH_KIND, key, spec, revision
                )
            except exceptions.NotFoundError:
                logger.warning(
                    'event=share_lost name={} revision={}', key, revision
                )
        return await self.store.create(object_codec.MESH_KIND, key, spec)

    async def _report_state(
        self, order: model.RolloutOrder, state: model.RolloutState
    ):
        """Writes the state of a rollout to the status of its order.

        Does nothing while the store, after its return from a copy, lacks the
        order.
        """
        if revisions.is_of_earlier_era(
            order.revision, self.directory.table_revision
        ):
            return
        item = await self.store.replace_status(
            platform_codec.ROLLOUT_KIND,
            order.service,
            platform_codec.encode_rollout_status(state, order.version),
            order.revision,
        )
        logger.info(
            'event=rollout_reported service={} version={} state={} revision={}',
            order.service,
            order.version,
            state.value,
            item.revision,
        )
        self.apply_order_object(item)

    async def _decide(
        self, order: model.RolloutOrder, share: model.VersionShare
    ):
        """Decides on a running rollout that this daemon holds.

        Rolls back on a fault or when time has run out; otherwise raises the
        share, finishes the rollout or renews the lease.
        """
        progress = self._get_or_create_progress(share)
        is_ready_to_finish = await self._collect_statistics(share, progress)
        now = self.clock()
        finding = progress.trial.observe(progress.totals, progress.is_cold)
        progress.is_cold = self._is_cold(share, progress)
        if finding is not None:
            await self._finish(
                share, model.RolloutState.ROLLED_BACK, str(finding)
            )
            return
        if progress.stage < 0:
            if (
                self._has_new_version_capacity(share)
                or now > progress.wait_for_servers_until
            ):
                await self._start_next_stage(share, progress)
        elif now >= progress.stage_ends_at:
            await self._end_stage(share, progress, is_ready_to_finish)
        current = self.directory.share_by_key[order.key]
        if current.state is not model.RolloutState.RUNNING:
            # The rollout ended in this step. Writing again would change its
            # final state.
            return
        if now > progress.finish_by - STEP_INTERVAL_S:
            await self._finish(
                current, model.RolloutState.ROLLED_BACK, 'not judged in time'
            )
        elif (
            now - self._share_written_at_by_key.get(order.key, 0.0)
            > LEASE_RENEWAL_INTERVAL_S
        ):
            await self._renew_lease(order.key)

    def _get_or_create_progress(self, share: model.VersionShare) -> Progress:
        progress = self._progress_by_key.get(share.key)
        if progress is None:
            now = self.clock()
            left_s = max(0.0, share.finish_by - time.time())
            stage = -1
            for index, candidate in enumerate(STAGES):
                # The first stage may use less than its nominal share.
                is_first = index == 0 and share.permille > 0
                if is_first or share.permille >= candidate.permille:
                    stage = index
            progress = Progress(
                stage=stage,
                stage_ends_at=now
                + (left_s * STAGES[stage].time_fraction if stage >= 0 else 0.0),
                finish_by=now + left_s,
                wait_for_servers_until=now + left_s * SERVER_WAIT_TIME_FRACTION,
                trial=self.judge.start(share.version),
            )
            self._progress_by_key[share.key] = progress
        return progress

    async def _collect_statistics(
        self, share: model.VersionShare, progress: Progress
    ) -> bool:
        """Collects the response statistics of all daemons of the service.

        These are the daemons whose local server runs the service. Daemons that
        do not respond are left out.

        Returns:
            True if every daemon that responded has applied the share, and none
            of them has a busy server of another version.
        """
        members = [
            member
            for member in self.directory.member_by_name.values()
            if member.server is not None
            and member.server.service == share.service
        ]
        results = await asyncio.gather(
            *(
                self._fetch_statistics(member, share.service)
                for member in members
            )
        )
        is_ready_to_finish = True
        for member, result in zip(members, results, strict=True):
            if result is None:
                continue
            report, busy, table_revision = result
            progress.statistics.add(report)
            is_other_version = member.required_server.version != share.version
            if table_revision < share.revision or (is_other_version and busy):
                is_ready_to_finish = False
        progress.totals = progress.statistics.totals(share.service)
        return is_ready_to_finish

    async def _fetch_statistics(
        self, member: model.Member, service: str
    ) -> tuple[evidence.Report, int, int] | None:
        """Fetches the response statistics of one daemon.

        Returns:
            The statistics, the number of requests that run at its server or
            wait for a slot, and the daemon's table revision; None if the
            daemon sent no valid response in time.
        """
        request = http_codec.Request(
            method='GET',
            target=f'{peer_protocol.EVIDENCE_PATH}?{http_codec.quote(service)}',
        )
        deadline = self.clock() + STATISTICS_TIMEOUT_S
        try:
            response = await self.pool.fetch(member.address, request, deadline)
            data = orjson.loads(response.body)
            return evidence.decode(data), data['busy'], data['table']
        except (
            exceptions.HemlockError,
            ValueError,
            TypeError,
            KeyError,
        ) as error:
            logger.info(
                'event=evidence_missing member={} problem={!r}',
                member.name,
                str(error),
            )
            return None

    def _is_cold(self, share: model.VersionShare, progress: Progress) -> bool:
        """Returns whether servers of the new version may just have started."""
        if progress.stage < 0:
            return True
        now = self.clock()
        if progress.cold_until is None:
            warmups_left_s = [
                member.required_server.warmup_left_s
                for member in self.directory.serving_members(share.service)
                if member.required_server.version == share.version
            ]
            progress.cold_until = now + max([MIN_COLD_START_S, *warmups_left_s])
        return now < progress.cold_until

    def _has_new_version_capacity(self, share: model.VersionShare) -> bool:
        """Returns whether servers of the new version have enough slots.

        They need at least as many slots as the other servers of the service.
        """
        new_slots = other_slots = 0
        for member in self.directory.serving_members(share.service):
            if member.required_server.version == share.version:
                new_slots += member.required_server.slots
            else:
                other_slots += member.required_server.slots
        return new_slots > 0 and new_slots >= other_slots

    async def _end_stage(
        self,
        share: model.VersionShare,
        progress: Progress,
        is_ready_to_finish: bool,
    ):
        """Starts the next stage, or finishes the rollout after the last one.

        The current stage goes on while the new version has too few responses
        and time for the remaining stages is left. The last stage goes on until
        `is_ready_to_finish` is true.
        """
        if progress.stage == len(STAGES) - 1:
            if is_ready_to_finish:
                await self._finish(
                    share, model.RolloutState.DONE, 'no fault found'
                )
            return
        new_version_counts = evidence.merged(
            counts
            for (version, _), counts in progress.totals.items()
            if version == share.version
        )
        left_s = progress.finish_by - self.clock()
        remaining_fraction = sum(
            stage.time_fraction for stage in STAGES[progress.stage + 1 :]
        )
        is_time_short = left_s < (
            remaining_fraction + RESERVED_TIME_FRACTION
        ) * (progress.finish_by - progress.wait_for_servers_until)
        if (
            new_version_counts.requests >= MIN_NEXT_STAGE_RESPONSES
            or is_time_short
        ):
            if progress.stage == len(STAGES) - 2:
                finding = progress.trial.conclude()
                if finding is not None:
                    await self._finish(
                        share, model.RolloutState.ROLLED_BACK, str(finding)
                    )
                    return
            await self._start_next_stage(share, progress)

    async def _start_next_stage(
        self, share: model.VersionShare, progress: Progress
    ):
        stage = STAGES[progress.stage + 1]
        permille = stage.permille
        if progress.stage < 0:
            first_stage_permille = (
                self.exposed_share * FIRST_STAGE_EXPOSED_FRACTION * 1000
            )
            permille = min(permille, int(first_stage_permille))
        await self._write_share(attrs.evolve(share, permille=permille))
        left_s = progress.finish_by - self.clock()
        remaining_fraction = sum(
            remaining.time_fraction
            for remaining in STAGES[progress.stage + 1 :]
        )
        progress.stage_ends_at = self.clock() + left_s * stage.time_fraction / (
            remaining_fraction + RESERVED_TIME_FRACTION
        )
        progress.stage += 1
        if progress.stage:
            progress.trial.start_stage()

    async def _renew_lease(self, key: str):
        share = self.directory.share_by_key[key]
        await self._write_share(
            attrs.evolve(share, renewals=share.renewals + 1)
        )

    async def _finish(
        self,
        share: model.VersionShare,
        state: model.RolloutState,
        reason: str,
    ):
        completed = state is model.RolloutState.DONE
        await self._write_share(
            attrs.evolve(
                share,
                state=state,
                permille=1000 if completed else 0,
                reason=reason,
            )
        )
        logger.info(
            'event=rollout_decided service={} version={} state={} reason={!r}',
            share.service,
            share.version,
            state.value,
            reason,
        )
        order = self._order_by_key.get(share.key)
        if order is not None and order.stores_outcome:
            await self._report_state(order, state)


def _is_same_order(
    order: model.RolloutOrder, other: model.RolloutOrder
) -> bool:
    return (order.version, order.created_number) == (
        other.version,
        other.created_number,
    )


def _is_share_of_order(
    share: model.VersionShare, order: model.RolloutOrder
) -> bool:
    return share.is_of_order(order.version, order.identity, time.time())
