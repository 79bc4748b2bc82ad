"""Fetches newer state from peers, in addition to the watches of the store."""

import asyncio
from collections.abc import Callable
import enum
import math
import random as random_module
from typing import Any

import attrs
from loguru import logger
import orjson

from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import freshness as freshness_module
from hemlockgrade import http_codec
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import peer_protocol
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Delays before this daemon fetches newer mesh objects (`TABLE`) or a newer
# configuration from a peer, in seconds. The watch of the store usually returns
# a change within this time after a peer has received it, so that no fetch is
# needed. A configuration may take most of a second on the link of a small host;
# without the store there is no reason to wait that long.
TABLE_FETCH_DELAY_S = 0.6
CONFIGURATION_FETCH_DELAY_S = 0.15
WATCHED_CONFIGURATION_FETCH_DELAY_S = 0.8
# Fraction of the comparisons for which peers of other failure domains are
# candidates, too, while the store sends new configurations. It is low since
# traffic between failure domains is billed by the byte. Without the store,
# every second comparison is one with another failure domain.
REMOTE_ZONE_COMPARISON_FRACTION = 0.15
# Longest time for a peer to send its versions, in seconds.
PEER_TIMEOUT_S = 1.0
# Longest time until a peer begins to send its state, in seconds.
STATE_TIMEOUT_S = 1.5


@attrs.define(eq=False, kw_only=True)
class StateSync:
    """Fetches the state of peers that have newer versions.

    Attributes:
        directory: State of the mesh in this daemon.
        pool: Connections to peers.
        address: `ip:port` at which this daemon serves its peers.
        zone: Failure domain of this daemon's host.
        random: Source of the random choices.
        is_watching: Returns whether the store sends this daemon new
            configurations.
        freshness: How recent the configuration of this daemon is; None if it
            is not known.
        on_newer_configuration: Called with each newer version of the
            configuration of which a peer tells.
        is_receiving_configuration: Returns whether the store sends a
            configuration at the moment.
        complete_revision: Returns the revision of the store up to which this
            daemon has all mesh objects. The highest known revision says less:
            this daemon's own writes raise it.
    """

    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    address: str
    zone: str
    random: random_module.Random = attrs.field(factory=random_module.Random)
    is_watching: Callable[[], bool] = lambda: False
    freshness: freshness_module.Freshness | None = None
    on_newer_configuration: Callable[[int], None] = lambda version: None
    complete_revision: Callable[[], int] = lambda: 0
    is_receiving_configuration: Callable[[], bool] = lambda: False
    _fetch_by_need: dict['_Need', '_Fetch'] = attrs.field(factory=dict)
    # Highest table revision of the peers whose state was fetched.
    _fetched_revision: int = 0
    _asked_remote_zone: bool = False

    async def compare_with_random_peer(self) -> None:
        """Compares versions with a random peer.

        A daemon whose calls the store refuses, or that started while the store
        was unavailable, gets the current state from its peers this way.
        """
        address = self._random_peer()
        if address is not None:
            await self._try_to_compare(address, PEER_TIMEOUT_S)

    async def _try_to_compare(self, address: str, timeout_s: float):
        """Compares versions with a peer; logs if it does not respond."""
        try:
            await self.compare(address, timeout_s)
        except exceptions.HemlockError as error:
            logger.debug(
                'event=peer_not_compared peer={} problem={!r}',
                address,
                str(error),
            )

    async def compare_with_some(self, count: int, timeout_s: float) -> None:
        """Compares versions with random peers at once.

        Args:
            count: Largest number of peers.
            timeout_s: Longest time for their responses, in seconds.
        """
        addresses = [
            member.address
            for member in self.directory.member_by_name.values()
            if member.address != self.address and not member.leaving
        ]
        await asyncio.gather(
            *(
                self._try_to_compare(address, timeout_s)
                for address in self.random.sample(
                    addresses, min(count, len(addresses))
                )
            )
        )

    async def compare(self, address: str, timeout_s: float) -> None:
        """Compares versions with a peer, and uses its confirmation.

        Args:
            address: `ip:port` of the peer.
            timeout_s: Longest time for the response, in seconds.

        Raises:
            exceptions.HemlockError: The peer sent no usable response.
        """
        sent_at = asyncio.get_running_loop().time()
        request = http_codec.Request(
            method='GET',
            target=peer_protocol.VERSIONS_PATH,
            headers=self.version_headers(),
        )
        response = await self.pool.fetch(address, request, sent_at + timeout_s)
        versions = peer_protocol.decode_versions(response.headers)
        if versions is None:
            raise exceptions.MalformedRequestError(
                f'{address} responded with status {response.status} and '
                'without its versions'
            )
        confirmation = peer_protocol.decode_confirmation(
            response.headers, versions, sent_at
        )
        if self.freshness is not None and confirmation is not None:
            self.freshness.confirm(confirmation)
        self.handle_versions(address, versions)

    def version_headers(self) -> http_codec.Headers:
        """Returns headers with the versions and the address of this daemon."""
        return [
            (peer_protocol.VERSIONS_HEADER, self.versions().encode()),
            (peer_protocol.SENDER_HEADER, self.address.encode()),
        ]

    def confirmation_headers(self) -> http_codec.Headers:
        """Returns a header that says how recent the configuration is.

        Returns:
            No header if that is not known.
        """
        freshness = self.freshness
        if freshness is None or not math.isfinite(freshness.confirmed_at):
            return []
        value = peer_protocol.encode_confirmation(
            freshness.age_s, freshness.revision, freshness.read_s
        )
        return [(peer_protocol.CONFIRMED_HEADER, value)]

    def handle_headers(self, headers: http_codec.Headers) -> None:
        """Handles the versions in the headers of a peer's request."""
        versions = peer_protocol.decode_versions(headers)
        address = http_codec.header(headers, peer_protocol.SENDER_HEADER)
        if versions is not None and address is not None:
            self.handle_versions(address, versions)

    def _random_peer(self) -> str | None:
        """Returns the address of a random peer.

        The peer is mostly one of this daemon's own failure domain. Without the
        store, the two kinds take turns: the whole failure domain may lack the
        store, and then gets changes from other ones only.

        Returns:
            The address; None if no peer is known that is not leaving.
        """
        peers = [
            member
            for member in self.directory.member_by_name.values()
            if member.address != self.address and not member.leaving
        ]
        local_zone = [member for member in peers if member.zone == self.zone]
        remote_zones = [member for member in peers if member.zone != self.zone]
        if self.is_watching():
            # The first comparison without the store is a remote one.
            self._asked_remote_zone = False
            if self.random.random() > REMOTE_ZONE_COMPARISON_FRACTION:
                peers = local_zone or peers
        elif local_zone and remote_zones:
            self._asked_remote_zone = not self._asked_remote_zone
            peers = remote_zones if self._asked_remote_zone else local_zone
        return self.random.choice(peers).address if peers else None

    def versions(self) -> peer_protocol.Versions:
        """Returns the highest versions that this daemon has received."""
        return peer_protocol.Versions(
            configuration_version=self.directory.configuration_version,
            table_revision=self.directory.table_revision,
        )

    def handle_versions(
        self, address: str, versions: peer_protocol.Versions
    ) -> None:
        """Schedules a fetch of a peer's state if the peer has newer versions.

        There is one fetch at a time for a newer configuration and one for newer
        mesh objects. The next one is from the peer with the newest of which
        this daemon has heard meanwhile.

        Args:
            address: `ip:port` of the peer.
            versions: Highest versions that the peer has received.
        """
        if self.freshness is not None:
            self.freshness.hear_version(versions.configuration_version)
        if self._needs(_Need.CONFIGURATION, versions):
            self.on_newer_configuration(versions.configuration_version)
        for need in _Need:
            if not self._needs(need, versions):
                continue
            fetch = self._fetch_by_need.get(need)
            if fetch is None:
                self._start_fetch(need, address, versions)
            elif fetch.next is None or need.is_higher(versions, fetch.next[1]):
                fetch.next = address, versions

    def _start_fetch(
        self, need: '_Need', address: str, versions: peer_protocol.Versions
    ):
        task = asyncio.get_running_loop().create_task(
            self._fetch_if_needed(need, address, versions)
        )
        self._fetch_by_need[need] = _Fetch(task)
        task.add_done_callback(lambda task: self._fetch_done(need, task))

    def encode_state(
        self, known: peer_protocol.Versions | None = None, part: str = ''
    ) -> bytes:
        """Encodes the configuration and all mesh objects for a peer.

        Args:
            known: Versions of the peer; None if they are not known. The
                configuration is left out if the peer has it or a newer one.
            part: `peer_protocol.STATE_PART_OBJECTS` to leave out the
                configuration in any case.
        """
        directory = self.directory
        configuration = directory.configuration
        if part == peer_protocol.STATE_PART_OBJECTS or (
            known is not None
            and known.configuration_version >= directory.configuration_version
        ):
            configuration = None
        return orjson.dumps(
            {
                'configuration': configuration.document
                if configuration is not None
                else None,
                'objects': [
                    [object_codec.key_of(v), v.revision, object_codec.encode(v)]
                    for v in directory.objects()
                ],
                'removed': directory.deletion_revision_by_key,
            }
        )

    async def fetch_state(self, address: str, part: str = '') -> None:
        """Fetches the state of a peer and applies what is newer.

        Args:
            address: `ip:port` of the peer.
            part: `peer_protocol.STATE_PART_OBJECTS` for the mesh objects only.

        Raises:
            exceptions.HemlockError: The peer sent no usable response.
        """
        starts_by = asyncio.get_running_loop().time() + STATE_TIMEOUT_S
        request = http_codec.Request(
            method='GET',
            target=f'{peer_protocol.STATE_PATH}?{part}'
            if part
            else peer_protocol.STATE_PATH,
            headers=self.version_headers(),
        )
        response = await self.pool.fetch(
            address,
            request,
            starts_by + object_store.MAX_TRANSFER_S,
            pauses=upstream.PauseLimits(
                starts_by=starts_by, max_pause_s=object_store.MAX_PAUSE_S
            ),
        )
        if response.status != 200:
            raise exceptions.MalformedRequestError(
                f'{address} responded with status {response.status} to a '
                'request for its state'
            )
        try:
            self._merge(orjson.loads(response.body), address)
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.MalformedRequestError(
                f'{address} sent a malformed state: {error!r}'
            ) from error

    def _merge(self, data: dict[str, Any], source: str):
        if data['configuration'] is not None:
            self.directory.apply_configuration(
                platform_codec.decode_configuration(data['configuration']),
                source,
            )
        for name, revision, content in data['objects']:
            value = object_codec.decode_or_log(name, content, revision, source)
            if value is not None:
                self.directory.apply(value, source)
        for name, revision in data['removed'].items():
            self.directory.remove(name, revision)

    def _needs(self, need: '_Need', versions: peer_protocol.Versions) -> bool:
        """Returns whether a peer with these versions has something newer."""
        if need is _Need.CONFIGURATION:
            return (
                versions.configuration_version
                > self.directory.configuration_version
            )
        complete = max(self.complete_revision(), self._fetched_revision)
        if not complete:
            complete = self.directory.table_revision
        return versions.table_revision > complete

    async def _fetch_if_needed(
        self,
        need: '_Need',
        address: str,
        versions: peer_protocol.Versions,
    ):
        """Fetches a peer's state if it is still newer after a delay.

        A daemon without any configuration or definition fetches at once.
        """
        if self.directory.configured:
            await asyncio.sleep(self._fetch_delay_s(versions))
        while need is _Need.CONFIGURATION and self.is_receiving_configuration():
            # A large one may fill the link of a small host. The store may send
            # the next one soon after it.
            await asyncio.sleep(self._fetch_delay_s(versions))
        if not self._needs(need, versions):
            return
        try:
            await self.fetch_state(address, need.state_part)
        except exceptions.HemlockError as error:
            logger.info(
                'event=state_not_fetched peer={} problem={!r}',
                address,
                str(error),
            )
            return
        self._fetched_revision = max(
            self._fetched_revision, versions.table_revision
        )

    def _fetch_delay_s(self, versions: peer_protocol.Versions) -> float:
        current = self.directory.configuration_version
        if versions.configuration_version <= current:
            return TABLE_FETCH_DELAY_S
        if self.is_watching():
            return WATCHED_CONFIGURATION_FETCH_DELAY_S
        return CONFIGURATION_FETCH_DELAY_S

    def _fetch_done(self, need: '_Need', task: asyncio.Task):
        fetch = self._fetch_by_need.pop(need)
        if task.cancelled():
            return
        if task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'event=state_fetch_failed'
            )
        if fetch.next is not None:
            self.handle_versions(*fetch.next)


class _Need(enum.Enum):
    """What a daemon fetches from a peer."""

    CONFIGURATION = enum.auto()
    OBJECTS = enum.auto()

    @property
    def state_part(self) -> str:
        """Returns the part of the state that has it."""
        if self is _Need.OBJECTS:
            return peer_protocol.STATE_PART_OBJECTS
        return ''

    def is_higher(
        self, new: peer_protocol.Versions, old: peer_protocol.Versions
    ) -> bool:
        """Returns whether versions are higher than others in what is needed."""
        if self is _Need.CONFIGURATION:
            return new.configuration_version > old.configuration_version
        return new.table_revision > old.table_revision


@attrs.define(eq=False)
class _Fetch:
    """A scheduled or running fetch.

    Attributes:
        task: The fetch.
        next: Address and versions of the peer with the newest versions that was
            heard meanwhile.
    """

    task: asyncio.Task
    next: tuple[str, peer_protocol.Versions] | None = None
