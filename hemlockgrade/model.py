"""Data classes of configuration, membership and rollouts."""

import enum
import fnmatch
from typing import Any

import attrs


class LabelKind(enum.StrEnum):
    """What the members of a label are."""

    TARGET = 'target'
    PROXY = 'proxy'


@attrs.frozen(kw_only=True)
class Label:
    """A named set of targets or proxies.

    Attributes:
        name: Unique among the labels.
        kind: Whether the members are targets or proxies.
        members: Shell-style patterns over member identifiers.
    """

    name: str
    kind: LabelKind
    members: tuple[str, ...]

    def matches(self, member_id: str) -> bool:
        """Tells whether an identifier is in the labelled set."""
        return any(fnmatch.fnmatchcase(member_id, p) for p in self.members)


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix served by a selector's service.

    Attributes:
        path_prefix: Matches whole path segments, for example `/booking`.
        timeout_ms: Time allowed for a request, in milliseconds.
    """

    path_prefix: str
    timeout_ms: int = 5000


@attrs.frozen(kw_only=True)
class Selector:
    """Joins a proxy label to a target label for one service.

    Attributes:
        name: Unique among the selectors.
        proxies: Name of the proxy label that it applies to.
        targets: Name of the target label that serves it.
        service: Service whose targets are meant.
        routes: Paths that the service answers.
        shares_by_version: Traffic share of each version, in percent.
        agreed_by: Agreed time of a new version, in seconds of Unix time.
    """

    name: str
    proxies: str
    targets: str
    service: str
    routes: tuple[Route, ...]
    shares_by_version: dict[str, int]
    agreed_by: float | None = None


class MemberState(enum.IntEnum):
    """State of a target, in the order in which states override each other."""

    ALIVE = 0
    SUSPECT = 1
    DRAINING = 2
    GONE = 3


@attrs.frozen(kw_only=True)
class Target:
    """A target as its own host's daemon announced it.

    Attributes:
        target_id: Unique among the targets.
        service: Service that it runs.
        version: Version of the service.
        failure_domain: Failure domain of its host.
        admission_address: `host:port` of the daemon that admits its work.
        slots: Requests that it runs at once.
        incarnation: Grows with each start and each refuted suspicion.
        state: Current state.
        daemon_id: Identifier of the daemon in its host.
        boot_id: Identifier of that daemon's process; it changes when the
            daemon restarts and so loses its ledger of requests.
        control_address: `host:port` at which that daemon takes subscribers.
        administration_address: `host:port` of that daemon's administration
            API, so that the command-line tool finds every daemon.
    """

    target_id: str
    service: str
    version: str
    failure_domain: str
    admission_address: str
    slots: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    daemon_id: str = ''
    boot_id: str = ''
    control_address: str = ''
    administration_address: str = ''


class ChangeKind(enum.StrEnum):
    """What a change of configuration does."""

    PUT_LABEL = 'put_label'
    DELETE_LABEL = 'delete_label'
    PUT_SELECTOR = 'put_selector'
    DELETE_SELECTOR = 'delete_selector'
    EPOCH = 'epoch'
    SET_PROGRESS = 'set_progress'
    END_ROLLOUT = 'end_rollout'


@attrs.frozen(kw_only=True)
class Change:
    """One entry of the change log.

    Attributes:
        number: Position in the log; the configuration version it produces.
        change_id: Unique identifier, used to recognise a lost answer.
        kind: What the change does.
        name: Label, selector or lease that it is about.
        body: Fields of the label or selector, or of the rollout's step.
        epoch: Epoch of the lease holder that wrote it; 0 for operators.
        author: Operator or daemon that wrote it.
        written_at: Seconds of Unix time on the writer's clock.
    """

    number: int
    change_id: str
    kind: ChangeKind
    name: str
    body: dict[str, Any] = attrs.field(factory=dict)
    epoch: int = 0
    author: str = ''
    written_at: float = 0.0


class RolloutState(enum.StrEnum):
    """State of a rollout to a new version."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


@attrs.frozen(kw_only=True)
class Rollout:
    """A rollout that moves a selector's traffic to a new version.

    Attributes:
        selector: Name of the selector.
        started_by: Number of the change that started the rollout.
        new_version: Version that takes over.
        old_shares_by_version: Shares before the rollout, in percent.
        progress_permille: 0 keeps the old shares, 1000 is the agreed result.
        state: Running, done or rolled back.
        reason: Evidence for the state, for operators.
        started_at: Seconds of Unix time.
        agreed_by: Deadline, in seconds of Unix time.
    """

    selector: str
    started_by: int
    new_version: str
    old_shares_by_version: dict[str, int]
    progress_permille: int = 0
    state: RolloutState = RolloutState.RUNNING
    reason: str = ''
    started_at: float = 0.0
    agreed_by: float = 0.0
