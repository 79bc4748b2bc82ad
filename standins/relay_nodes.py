"""Daemons reduced to their control streams, for scenarios and benchmarks."""

import asyncio
import contextlib
import random

import attrs
import grpc

from hemlockgrade import configuration as configuration_module
from hemlockgrade import configuration_task
from hemlockgrade import distribution
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import relay
from hemlockgrade import root_relay as root_relay_module
from hemlockgrade import tree
from hemlockgrade import uplink as uplink_module
from hemlockgrade.wire import control_pb2
from hemlockgrade.wire import control_pb2_grpc

HOST = '127.0.0.1'


def label_change(number, members=('*',)):
    """A change that sets one of a few labels, so that each one shows."""
    name = f'label-{number % 7}'
    return model.Change(
        number=number,
        change_id=f'change-{number}',
        kind=model.ChangeKind.PUT_LABEL,
        name=name,
        body={'name': name, 'kind': 'target', 'members': list(members)},
    )


def configuration_at(version):
    """The configuration that the first changes of the log produce."""
    configuration = configuration_module.Configuration()
    for number in range(1, version + 1):
        configuration = configuration_module.apply(
            configuration, label_change(number)
        )
    return configuration


def target(target_id, failure_domain='a', incarnation=1, **fields):
    """An entry of the member table."""
    return model.Target(
        target_id=target_id,
        service='booking',
        version='v1',
        failure_domain=failure_domain,
        admission_address='127.0.0.1:1',
        slots=18,
        incarnation=incarnation,
        **fields,
    )


class MemoryLog:
    """A change log in memory that can be made unavailable."""

    def __init__(self):
        self.changes = []
        self.available = True
        self._grown = asyncio.Event()

    @property
    def version(self):
        """Number of the last change."""
        return len(self.changes)

    def append(self, change=None):
        """Adds the next change."""
        self.changes.append(change or label_change(self.version + 1))
        self._grown.set()
        self._grown = asyncio.Event()

    async def load(self):
        """Reads the whole configuration."""
        self._check()
        configuration = configuration_module.Configuration()
        for change in self.changes:
            configuration = configuration_module.apply(configuration, change)
        return configuration

    async def follow(self, configuration):
        """Yields the changes after a configuration."""
        version = configuration.version
        while True:
            self._check()
            while version < self.version:
                version += 1
                yield self.changes[version - 1]
            await self._grown.wait()

    def _check(self):
        if not self.available:
            raise exceptions.PlatformUnavailableError(
                'the log does not answer', remedy='wait'
            )


class Members:
    """A member table that keeps the higher entry and tells of changes."""

    def __init__(self):
        self.targets_by_id = {}
        self.received = 0
        self._callbacks = []

    def subscribe(self, callback):
        """Calls back with the entries that changed."""
        self._callbacks.append(callback)

    def merge(self, targets, reply=None):
        """Takes entries that are newer than those held."""
        changed = []
        self.received += len(targets)
        for entry in targets:
            held = self.targets_by_id.get(entry.target_id)
            if held is None or _rank(entry) > _rank(held):
                self.targets_by_id[entry.target_id] = entry
                changed.append(entry)
        if changed:
            for callback in self._callbacks:
                callback(changed)


def _rank(entry):
    return entry.incarnation, entry.state


@attrs.define(eq=False)
class Node:
    """A daemon with a relay and the link above it."""

    name: str
    domain: str = 'a'
    max_children: int = 8
    configuration: configuration_task.ConfigurationTask = attrs.field(
        factory=configuration_task.ConfigurationTask
    )
    members: Members = attrs.field(factory=Members)
    steps: list = attrs.field(factory=list)
    evidence: list = attrs.field(factory=list)
    suspicions: list = attrs.field(factory=list)
    lost_children: list = attrs.field(factory=list)
    links: dict = attrs.field(factory=dict)
    address: str = ''
    server: relay.RelayServer | None = None
    uplink: uplink_module.Uplink | None = None
    root_relay: root_relay_module.RootRelay | None = None
    _tasks: list = attrs.field(factory=list)

    @property
    def version(self):
        """Version that the daemon has."""
        return self.configuration.configuration.version

    async def start(self):
        """Serves; `follow` or `subscribe` adds the link above."""
        self.configuration.subscribe(
            lambda configuration, changes: self.steps.append(
                (configuration.version, [c.number for c in changes])
            )
        )
        self.run(self.configuration.run())
        self.server = relay.RelayServer(
            identity=self._identity(),
            configuration_task=self.configuration,
            member_task=self.members,
            callbacks=self.callbacks(),
            max_children=self.max_children,
        )
        port = await self.server.start(f'{HOST}:0')
        self.address = f'{HOST}:{port}'

    def callbacks(self):
        """What the streams report to."""
        return tree.Callbacks(
            members=self.members.merge,
            evidence=self.evidence.extend,
            suspicions=self.suspicions.extend,
            child_lost=self.lost_children.append,
            domain_link=self.links.__setitem__,
            peer_root=lambda root: self.root_relay.learn_root(root),
        )

    def make_root_relay(self, log):
        """Makes the link of a root, without running it."""
        self.root_relay = root_relay_module.RootRelay(
            identity=self._identity(),
            change_source=log,
            configuration_task=self.configuration,
            member_task=self.members,
            callbacks=self.callbacks(),
            on_position=self.server.set_position,
            random=random.Random(self.name),
        )
        return self.root_relay

    def make_uplink(self, candidates):
        """Makes the link of a subscriber, without running it."""
        self.uplink = uplink_module.Uplink(
            identity=self._identity(),
            configuration_task=self.configuration,
            member_task=self.members,
            candidates=candidates,
            callbacks=self.callbacks(),
            on_position=self.server.set_position,
            random=random.Random(self.name),
        )
        return self.uplink

    def follow(self, log):
        """Makes the daemon a root."""
        self.server.set_upstream(self.make_root_relay(log))
        self.run(self.root_relay.run())

    def subscribe(self, candidates):
        """Makes the daemon a subscriber."""
        self.server.set_upstream(self.make_uplink(candidates))
        self.run(self.uplink.run())

    def run(self, coroutine):
        """Runs a coroutine until the daemon ends."""
        self._tasks.append(asyncio.create_task(coroutine))

    async def kill(self):
        """Ends without a word to anyone."""
        if self.uplink is not None:
            self.uplink.abort()
        await self._cancel()
        await self.server.abort()

    async def close(self):
        """Ends in an orderly way."""
        await self.server.close()
        await self._cancel()

    async def _cancel(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _identity(self):
        return tree.Identity(
            daemon_id=self.name,
            failure_domain=self.domain,
            control_address=self.address,
        )


class SilentRelay(control_pb2_grpc.ControlServicer):
    """Admits every subscriber and then sends nothing, as if it hung."""

    def __init__(self):
        self.admitted = 0

    async def start(self):
        """Serves and returns the address."""
        self._server = grpc.aio.server()
        control_pb2_grpc.add_ControlServicer_to_server(self, self._server)
        port = self._server.add_insecure_port(f'{HOST}:0')
        await self._server.start()
        return f'{HOST}:{port}'

    async def close(self):
        """Stops at once."""
        await self._server.stop(None)

    async def Subscribe(self, request_iterator, context):  # noqa: N802
        """Sends one Welcome."""
        await context.read()
        self.admitted += 1
        welcome = control_pb2.Welcome(relay_id='silent', rooted=True)
        await context.write(control_pb2.Downward(welcome=welcome))
        await asyncio.sleep(3600)


async def until(condition, limit_s=30.0):
    """Waits until a condition holds; the limit only ends a hung run."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


async def start_tree(
    stack: contextlib.AsyncExitStack,
    size,
    roots,
    log,
    max_children=8,
    targets=(),
):
    """Starts a tree; the stack kills all of its daemons."""
    nodes = [
        Node(f'daemon-{index}', max_children=max_children)
        for index in range(size)
    ]
    for node in nodes:
        await node.start()
        stack.push_async_callback(node.kill)
    tops = nodes[:roots]
    known = [relay_of(node) for node in tops]
    seeds = [node.address for node in tops]
    for node in tops:
        node.members.merge(targets)
        node.follow(log)
        node.root_relay.set_roots(known)
    for index, node in enumerate(nodes[roots:]):
        first = seeds[index % roots :] + seeds[: index % roots]
        node.subscribe(lambda backups, first=first: [*backups, *first])
    await until(lambda: all(is_attached(node) for node in nodes[roots:]), 120)
    return nodes


def is_attached(node):
    """Tells whether a subscriber has a way to a root."""
    return bool(node.uplink.parent_address) and node.uplink.position.rooted


def relay_of(node):
    """Describes a daemon as others know it."""
    return distribution.KnownRelay(
        daemon_id=node.name,
        failure_domain=node.domain,
        control_address=node.address,
    )
