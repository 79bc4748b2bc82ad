"""What the relays, uplinks and root relays of the tree share."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
from typing import Any
from typing import Protocol

import attrs

from hemlockgrade import configuration_task as configuration_task_module
from hemlockgrade import distribution
from hemlockgrade import model
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2

# A subscription that lasted so long ends the row of failures.
STABLE_AFTER_S = 2.0

Reply = Callable[[Sequence[model.Target]], None]


def ignore(*_: Any) -> None:
    """Stands for a callback that is not set."""


@attrs.frozen(kw_only=True)
class Callbacks:
    """Receivers of what other daemons send.

    Attributes:
        members: Called with the entries that arrived and a function that
            sends entries back which override them.
        suspicions: Called with the `control_pb2.Suspicion` that arrived.
        evidence: Called with the `control_pb2.EvidenceBatch` that arrived.
        child_lost: Called with the identifier of a child whose stream broke.
        domain_link: Called on a root with a failure domain and whether the
            peer stream to it stands.
        peer_root: Called with a root that has subscribed as a peer.
    """

    members: Callable[[list[model.Target], Reply], None] = ignore
    suspicions: Callable[[list[control_pb2.Suspicion]], None] = ignore
    evidence: Callable[[list[control_pb2.EvidenceBatch]], None] = ignore
    child_lost: Callable[[str], None] = ignore
    domain_link: Callable[[str, bool], None] = ignore
    peer_root: Callable[[distribution.KnownRelay], None] = ignore


@attrs.frozen(kw_only=True)
class Identity:
    """How a daemon names itself on its streams.

    Attributes:
        daemon_id: Identifier of the daemon.
        failure_domain: Its failure domain.
        control_address: `host:port` of its relay; empty if it serves none.
    """

    daemon_id: str
    failure_domain: str
    control_address: str = ''


@attrs.frozen(kw_only=True)
class Position:
    """Where a daemon stands in the tree.

    Attributes:
        ancestors: Daemons from the top of the tree to the parent.
        rooted: True if the path begins at a root.
        root: True if the daemon itself is a root.
        root_addresses: Roots of the failure domain.
        sibling_addresses: Other children of the parent.
    """

    ancestors: tuple[str, ...] = ()
    rooted: bool = False
    root: bool = False
    root_addresses: tuple[str, ...] = ()
    sibling_addresses: tuple[str, ...] = ()


class Origin(enum.Enum):
    """Where a report came from, which decides how far it goes."""

    SUBTREE = 'subtree'
    OWN_DOMAIN = 'own_domain'
    OTHER_DOMAIN = 'other_domain'


class Upstream(Protocol):
    """Takes what a relay received on its way to the roots."""

    def post_suspicions(
        self,
        suspicions: Iterable[control_pb2.Suspicion],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends suspicions on."""

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends evidence on."""

    def members_received(
        self, targets: Sequence[model.Target], origin: Origin
    ) -> None:
        """Notes entries that arrived, to decide on their way."""


def post_configuration(
    task: configuration_task_module.ConfigurationTask,
    message: control_pb2.Downward,
) -> None:
    """Hands changes or a snapshot to the task; ignores other messages."""
    body = message.WhichOneof('body')
    if body == 'changes':
        task.post(
            configuration_task_module.ChangesReceived(
                wire_messages.decode_changes(message.changes)
            )
        )
    elif body == 'snapshot':
        task.post(
            configuration_task_module.SnapshotReceived(
                wire_messages.decode_snapshot(message.snapshot)
            )
        )


def make_hello(
    identity: Identity,
    role: control_pb2.Role,
    configuration_task: configuration_task_module.ConfigurationTask,
    digest: distribution.MemberDigest,
) -> control_pb2.Hello:
    """Returns the first message of a subscriber's stream."""
    return control_pb2.Hello(
        daemon_id=identity.daemon_id,
        failure_domain=identity.failure_domain,
        control_address=identity.control_address,
        configuration_version=configuration_task.configuration.version,
        role=role,
        member_digests=digest.values(),
    )
