"""Daemons tell each other of newer facts, beside the store."""

import asyncio
import random as random_module
from typing import Any

import attrs
from loguru import logger
import orjson

from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import object_codec
from hemlockgrade import peer_protocol
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# A watch usually brings a change of the mesh's objects within this time after a
# peer has it, in seconds, and a configuration sooner.
TABLE_GRACE_S = 0.6
CONFIGURATION_GRACE_S = 0.15
# Time between two comparisons with a peer, in seconds.
COMPARE_S = 1.0
# Part of the comparisons that cross failure domains, where bytes are priced.
FAR_PART = 0.15
# Longest time for a peer to send what it knows, in seconds.
FETCH_TIMEOUT_S = 1.0


@attrs.define(eq=False, kw_only=True)
class StateSync:
    """Fetches facts from a peer that knows newer ones.

    Attributes:
        directory: What this daemon knows.
        pool: Connections to other daemons.
        address: Where this daemon takes requests of others.
        zone: Own failure domain.
    """

    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    address: str
    zone: str
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _task: asyncio.Task | None = None

    async def run(self) -> None:
        """Compares versions with a random peer until it is cancelled.

        So a daemon that the store turns away, or that started while it was
        down, learns what its peers know.
        """
        while True:
            await asyncio.sleep(COMPARE_S * (0.5 + self.random.random()))
            address = self._random_peer()
            if address is None:
                continue
            try:
                await self._compare(address)
            except exceptions.HemlockError as error:
                logger.debug(
                    'event=peer_not_compared peer={} problem={!r}',
                    address,
                    str(error),
                )

    def headers(self) -> http_codec.Headers:
        """Returns the headers that tell a peer what this daemon knows."""
        return [
            (peer_protocol.VERSIONS_HEADER, self.versions().encode()),
            (peer_protocol.SENDER_HEADER, self.address.encode()),
        ]

    def read(self, headers: http_codec.Headers) -> None:
        """Learns from a peer's request what the peer knows."""
        versions = peer_protocol.decode_versions(headers)
        address = http_codec.header(headers, peer_protocol.SENDER_HEADER)
        if versions is not None and address is not None:
            self.heard(address, versions)

    async def _compare(self, address: str):
        deadline = asyncio.get_running_loop().time() + FETCH_TIMEOUT_S
        request = http_codec.Request(
            method='GET',
            target=peer_protocol.VERSIONS_PATH,
            headers=self.headers(),
        )
        response = await self.pool.send(address, request, deadline)
        versions = peer_protocol.decode_versions(response.headers)
        if versions is not None:
            self.heard(address, versions)

    def _random_peer(self) -> str | None:
        """Returns a peer's address, mostly one of the own failure domain."""
        peers = [
            member
            for member in self.directory.member_by_name.values()
            if member.address != self.address and not member.leaving
        ]
        near = [member for member in peers if member.zone == self.zone]
        if near and self.random.random() > FAR_PART:
            peers = near
        return self.random.choice(peers).address if peers else None

    def versions(self) -> peer_protocol.Versions:
        """Returns the newest versions that this daemon knows."""
        return peer_protocol.Versions(
            configuration_version=self.directory.configuration_version,
            table_revision=self.directory.table_revision,
        )

    def heard(self, address: str, versions: peer_protocol.Versions) -> None:
        """Learns which versions a peer knows."""
        if not self._is_newer(versions) or self._task is not None:
            return
        self._task = asyncio.get_running_loop().create_task(
            self._catch_up(address, versions)
        )
        self._task.add_done_callback(self._done)

    def encode(self) -> bytes:
        """Encodes all facts for a peer."""
        directory = self.directory
        configuration = directory.configuration
        return orjson.dumps(
            {
                'configuration': configuration.document
                if configuration is not None
                else None,
                'objects': [
                    [object_codec.key_of(v), v.revision, object_codec.encode(v)]
                    for v in directory.objects()
                ],
                'removed': directory.removed_by_key,
            }
        )

    async def fetch(self, address: str) -> None:
        """Fetches what a peer knows.

        Raises:
            exceptions.HemlockError: The peer did not answer.
        """
        deadline = asyncio.get_running_loop().time() + FETCH_TIMEOUT_S
        request = http_codec.Request(
            method='GET', target=peer_protocol.STATE_PATH
        )
        response = await self.pool.send(address, request, deadline)
        if response.status != 200 or response.stream is not None:
            if response.stream is not None:
                response.stream.abort()
            raise exceptions.MalformedRequestError(
                f'{address} answered {response.status} to a fetch of its state'
            )
        try:
            self._merge(orjson.loads(response.body), address)
        except (KeyError, TypeError, orjson.JSONDecodeError) as error:
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
            value = object_codec.decode(name, content, revision)
            if value is not None:
                self.directory.apply(value, source)
        for name, revision in data['removed'].items():
            self.directory.remove(name, revision)

    def _is_newer(self, versions: peer_protocol.Versions) -> bool:
        return (
            versions.configuration_version
            > self.directory.configuration_version
            or versions.table_revision > self.directory.table_revision
        )

    async def _catch_up(self, address: str, versions: peer_protocol.Versions):
        if self.directory.configured:
            known = self.directory.configuration_version
            await asyncio.sleep(
                CONFIGURATION_GRACE_S
                if versions.configuration_version > known
                else TABLE_GRACE_S
            )
        if not self._is_newer(versions):
            return
        try:
            await self.fetch(address)
        except exceptions.HemlockError as error:
            logger.info(
                'event=state_not_fetched peer={} problem={!r}',
                address,
                str(error),
            )

    def _done(self, task: asyncio.Task):
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'event=state_fetch_failed'
            )
