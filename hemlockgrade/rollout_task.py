"""Moves services to new versions; one daemon at a time decides on each."""

import asyncio
from collections.abc import Callable
import hashlib
import time

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
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Time between two looks at the evidence, in seconds.
STEP_S = 0.4
# The holder writes at least this often, in seconds, and is replaced when
# nothing was heard of it for the lease; each further candidate waits longer.
RENEWAL_S = 1.0
LEASE_S = 2.5
CANDIDATE_DELAY_S = 0.4
MAX_CANDIDATE_DELAY_S = 4.0
# Longest time for a daemon to send its evidence, in seconds.
POLL_TIMEOUT_S = 0.5
# Spans of time that are judged, in steps; the whole rollout comes on top.
SPANS = (3, 8)
# New servers are waited for until this part of the time has passed.
GATHER_PART = 0.35
# Part of the users' bound on the share of a bad version that the first stage
# uses; the rest is left for a version that turns bad in a later one.
EXPOSED_PART = 0.6
# Answers of the new version without which the first stage goes on.
MIN_JUDGED = 40


@attrs.frozen(kw_only=True)
class Stage:
    """A step of the new version's share.

    Attributes:
        permille: Its part of the requests, in thousandths.
        part: Its part of the rollout's time.
    """

    permille: int
    part: float


# A version that is bad from the start shows it in the first stage, where it
# gets less than the users' bound on its share; later stages are short, so that
# one that turns bad there is found before the bound is used up.
STAGES = (
    Stage(permille=60, part=0.3),
    Stage(permille=200, part=0.08),
    Stage(permille=500, part=0.08),
    Stage(permille=1000, part=0.12),
)


@attrs.define(eq=False)
class Progress:
    """What the holder of a rollout knows beyond the stored share.

    Attributes:
        stage: Index of the stage; -1 before the first one.
        stage_ends: Monotonic time of its planned end.
        finish_by: Monotonic time by which the rollout has to be reported.
        gather_until: Monotonic time until which new servers are waited for.
        sums: Evidence of all daemons since the start.
        history: Totals after each step.
    """

    stage: int
    stage_ends: float
    finish_by: float
    gather_until: float
    sums: evidence.EvidenceSums = attrs.field(factory=evidence.EvidenceSums)
    history: list[dict] = attrs.field(factory=list)


@attrs.define(eq=False, kw_only=True)
class RolloutTask:
    """Decides on rollouts while this daemon holds them.

    Attributes:
        name: Name of this daemon's host.
        store: Where orders and shares are kept.
        directory: Knows members and shares.
        pool: Connections to other daemons.
        clock: Monotonic time in seconds.
        judge: Finds bad versions.
        exposed_share: Part of a service's requests that a bad version may
            get.
    """

    name: str
    store: object_store.ObjectStore
    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    judge: evidence.Judge
    exposed_share: float
    _order_by_key: dict[str, model.RolloutOrder] = attrs.field(factory=dict)
    _ordered_at: dict[str, float] = attrs.field(factory=dict)
    _seen_by_key: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _progress_by_key: dict[str, Progress] = attrs.field(factory=dict)
    _written_at: dict[str, float] = attrs.field(factory=dict)
    _wanted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def order_changed(self, item: object_store.StoredItem) -> None:
        """Takes an operator's order."""
        try:
            order = platform_codec.decode_rollout_order(
                item.spec, item.status, item.revision, item.created_revision
            )
        except exceptions.InvalidFieldError as error:
            logger.error(
                'event=order_refused name={} revision={} problem={!r}',
                item.name,
                item.revision,
                str(error),
            )
            return
        self.take_order(order)

    def take_order(self, order: model.RolloutOrder) -> None:
        """Takes an order of the operator or of a selector."""
        known = self._order_by_key.get(order.key)
        if known is None or not _same_order(known, order):
            logger.info(
                'event=rollout_ordered service={} version={} duration_s={}',
                order.service,
                order.version,
                order.duration_s,
            )
            self._ordered_at[order.key] = self.clock()
        self._order_by_key[order.key] = order
        self._wanted.set()

    def order_deleted(self, item: object_store.StoredItem) -> None:
        """Takes the end of an operator's order."""
        self.drop_order(item.name)

    def drop_order(self, key: str) -> None:
        """Takes the end of an order."""
        self._order_by_key.pop(key, None)

    async def run(self) -> None:
        """Decides on rollouts until it is cancelled."""
        while True:
            orders = list(self._order_by_key.values())
            open_orders = [o for o in orders if not self._is_settled(o)]
            if not open_orders:
                self._wanted.clear()
                await self._wanted.wait()
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
            await asyncio.sleep(STEP_S)

    def _is_settled(self, order: model.RolloutOrder) -> bool:
        """Tells whether the outcome is stored and reported."""
        if not order.stores_outcome:
            share = self.directory.share_by_key.get(order.key)
            return (
                share is not None
                and _is_for(share, order)
                and share.state is not model.RolloutState.RUNNING
            )
        return (
            order.state
            in (model.RolloutState.DONE, model.RolloutState.ROLLED_BACK)
            and order.reported_version == order.version
        )

    async def _step(self, order: model.RolloutOrder):
        share = self.directory.share_by_key.get(order.key)
        if share is None or not _is_for(share, order):
            await self._take(order, share)
            return
        if share.holder != self.name:
            self._progress_by_key.pop(order.key, None)
            if self._is_silent(share):
                await self._take(order, share)
            return
        if share.state is not model.RolloutState.RUNNING:
            await self._report(order, share.state)
            return
        if order.state is None and order.stores_outcome:
            await self._report(order, model.RolloutState.RUNNING)
        await self._decide(order, share)

    def _is_silent(self, share: model.VersionShare) -> bool:
        """Tells whether the holder has not written for its lease."""
        now = self.clock()
        seen = self._seen_by_key.get(share.key)
        if seen is None or seen[0] != share.revision:
            self._seen_by_key[share.key] = (share.revision, now)
            return False
        return now - seen[1] > LEASE_S + self._delay_s(share.key)

    def _delay_s(self, key: str) -> float:
        """Returns how long this daemon lets other candidates go first."""

        def rank(name: str) -> bytes:
            return hashlib.sha256(f'{key}/{name}'.encode()).digest()

        own = rank(self.name)
        before = sum(rank(name) < own for name in self.directory.member_by_name)
        return min(before * CANDIDATE_DELAY_S, MAX_CANDIDATE_DELAY_S)

    async def _take(
        self, order: model.RolloutOrder, share: model.VersionShare | None
    ):
        """Becomes the holder, or starts the rollout."""
        now = self.clock()
        started = share is not None and _is_for(share, order)
        ordered_at = self._ordered_at.get(order.key, now)
        if not started and now < ordered_at + self._delay_s(order.key):
            return
        if started and share is not None:
            new = attrs.evolve(
                share,
                holder=self.name,
                epoch=share.epoch + 1,
            )
        else:
            new = model.VersionShare(
                key=order.key,
                service=order.service,
                version=order.version,
                permille=0,
                state=model.RolloutState.RUNNING,
                holder=self.name,
                epoch=1 if share is None else share.epoch + 1,
                finish_by=time.time() + order.duration_s - (now - ordered_at),
                order_revision=order.created_revision,
                revision=0 if share is None else share.revision,
            )
        await self._write(new)
        self._progress_by_key.pop(order.key, None)
        logger.info(
            'event=rollout_held service={} version={} epoch={} permille={}',
            new.service,
            new.version,
            new.epoch,
            new.permille,
        )

    async def _write(self, share: model.VersionShare):
        """Writes a share over the revision that it was made from."""
        key = object_codec.key_of(share)
        spec = object_codec.encode(share)
        try:
            if share.revision:
                item = await self.store.replace(
                    object_codec.MESH_KIND, key, spec, share.revision
                )
            else:
                item = await self.store.create(
                    object_codec.MESH_KIND, key, spec
                )
        except object_store.RevisionConflictError as error:
            if error.current is not None:
                value = object_codec.decode_item(error.current)
                if isinstance(value, model.VersionShare):
                    self.directory.apply_share(value, 'conflict')
            raise
        self._written_at[share.key] = self.clock()
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

    async def _report(
        self, order: model.RolloutOrder, state: model.RolloutState
    ):
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
        self.order_changed(item)

    async def _decide(
        self, order: model.RolloutOrder, share: model.VersionShare
    ):
        progress = self._progress_of(share)
        reached = await self._poll(share, progress)
        finding = self._judge(share, progress)
        now = self.clock()
        if finding is not None:
            await self._finish(
                share, model.RolloutState.ROLLED_BACK, str(finding)
            )
            return
        if progress.stage < 0:
            if self._has_room(share) or now > progress.gather_until:
                await self._next_stage(share, progress)
        elif now >= progress.stage_ends:
            await self._advance(share, progress, reached)
        current = self.directory.share_by_key[order.key]
        if current.state is not model.RolloutState.RUNNING:
            # It has ended in this step, and an end is final.
            return
        if now > progress.finish_by - STEP_S:
            await self._finish(
                current, model.RolloutState.ROLLED_BACK, 'not judged in time'
            )
        elif now - self._written_at.get(order.key, 0.0) > RENEWAL_S:
            await self._renew(order.key)

    def _progress_of(self, share: model.VersionShare) -> Progress:
        progress = self._progress_by_key.get(share.key)
        if progress is None:
            now = self.clock()
            left_s = max(0.0, share.finish_by - time.time())
            stage = -1
            for index, each in enumerate(STAGES):
                first = index == 0 and share.permille > 0
                if first or share.permille >= each.permille:
                    stage = index
            progress = Progress(
                stage=stage,
                stage_ends=now
                + (left_s * STAGES[stage].part if stage >= 0 else 0.0),
                finish_by=now + left_s,
                gather_until=now + left_s * GATHER_PART,
            )
            self._progress_by_key[share.key] = progress
        return progress

    async def _poll(
        self, share: model.VersionShare, progress: Progress
    ) -> bool:
        """Collects the evidence of all daemons of the service.

        Returns:
            True if every daemon that answered knows the share and no server
            of the old version is busy.
        """
        members = [
            member
            for member in self.directory.member_by_name.values()
            if member.server is not None
            and member.server.service == share.service
        ]
        answers = await asyncio.gather(
            *(self._fetch(member, share.service) for member in members)
        )
        settled = True
        for member, answer in zip(members, answers, strict=True):
            if answer is None:
                continue
            report, busy, table = answer
            progress.sums.add(report)
            old = member.required_server.version != share.version
            if table < share.revision or (old and busy):
                settled = False
        progress.history.append(progress.sums.totals(share.service))
        return settled

    async def _fetch(
        self, member: model.Member, service: str
    ) -> tuple[evidence.Report, int, int] | None:
        request = http_codec.Request(
            method='GET', target=f'{peer_protocol.EVIDENCE_PATH}?{service}'
        )
        deadline = self.clock() + POLL_TIMEOUT_S
        try:
            response = await self.pool.send(member.address, request, deadline)
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

    def _judge(
        self, share: model.VersionShare, progress: Progress
    ) -> evidence.Finding | None:
        latest = progress.history[-1]
        finding = self.judge.find_fault(latest, share.version)
        for span in SPANS:
            if finding is not None:
                return finding
            if len(progress.history) > span:
                earlier = progress.history[-1 - span]
                finding = self.judge.find_fault(
                    _difference(latest, earlier), share.version
                )
        return finding

    def _has_room(self, share: model.VersionShare) -> bool:
        """Tells whether the new servers can take over the whole service."""
        new = old = 0
        for member in self.directory.serving_members(share.service):
            if member.required_server.version == share.version:
                new += member.required_server.slots
            else:
                old += member.required_server.slots
        return new > 0 and new >= old

    async def _advance(
        self, share: model.VersionShare, progress: Progress, reached: bool
    ):
        if progress.stage == len(STAGES) - 1:
            if reached:
                await self._finish(
                    share, model.RolloutState.DONE, 'no fault found'
                )
            return
        judged = evidence.merged(
            counts
            for (version, _), counts in progress.history[-1].items()
            if version == share.version
        )
        left_s = progress.finish_by - self.clock()
        rest = sum(stage.part for stage in STAGES[progress.stage + 1 :])
        must = left_s < rest * (progress.finish_by - progress.gather_until)
        if judged.requests >= MIN_JUDGED or must:
            await self._next_stage(share, progress)

    async def _next_stage(self, share: model.VersionShare, progress: Progress):
        stage = STAGES[progress.stage + 1]
        permille = stage.permille
        if progress.stage < 0:
            exposed = self.exposed_share * EXPOSED_PART * 1000
            permille = min(permille, int(exposed))
        await self._write(attrs.evolve(share, permille=permille))
        left_s = progress.finish_by - self.clock()
        rest = sum(each.part for each in STAGES[progress.stage + 1 :])
        # The last part of the time is kept for the end of the old version.
        progress.stage_ends = self.clock() + left_s * stage.part / (rest + 0.2)
        progress.stage += 1

    async def _renew(self, key: str):
        share = self.directory.share_by_key[key]
        await self._write(attrs.evolve(share, renewals=share.renewals + 1))

    async def _finish(
        self,
        share: model.VersionShare,
        state: model.RolloutState,
        reason: str,
    ):
        completed = state is model.RolloutState.DONE
        await self._write(
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
            await self._report(order, state)


def _same_order(one: model.RolloutOrder, other: model.RolloutOrder) -> bool:
    return (one.version, one.created_revision) == (
        other.version,
        other.created_revision,
    )


def _is_for(share: model.VersionShare, order: model.RolloutOrder) -> bool:
    return (share.version, share.order_revision) == (
        order.version,
        order.created_revision,
    )


def _difference(latest: dict, earlier: dict) -> dict:
    """Returns what came between two states of the totals."""
    return {
        key: counts.minus(earlier[key]) if key in earlier else counts
        for key, counts in latest.items()
    }
