"""Hosts that follow the store, directly or through peers, in virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Collection
from random import Random
from typing import Any, cast

import orjson

from ...config import FleetBounds
from ...gateway import GatewayState
from ...membership import Member
from ...platform.documents import CONFIGURATION_KEY
from ...platform.servers import SERVER_PREFIX
from ...platform.store import ALL_KEYS
from ...replica import (
    FetchReplica,
    FollowPolicy,
    FreshnessBudget,
    ReplicaAnswer,
    StoreFollower,
)
from ...replica.tests.read_only_store import ReadOnlyStore
from ...routing import ServerTracker
from ...standins.hosted_fleet import make_configuration
from ...store import (
    Changes,
    Snapshot,
    StoredEntry,
    StoreRevision,
)
from ...utils import Address, BronzesillError, ResultCode
from ...wire import PeerClient
from ..hosted_store_state import HostedStoreState
from ..peer_replication import PeerReplication

__all__ = ['Disturbance', 'VirtualReplicas', 'find_lags_s']

_STORE_DELAY_S = 0.004
_PEER_DELAY_S = 0.002
_SLOW_DELAY_S = 0.4
#: Time after which the client of the store fails a call without an answer.
_STORE_TIMEOUT_S = 1.5
_POLL_S = 0.01
_SERVERS = 12
_SERVER = {
    'service': 'shop',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'coldRemainingMs': 0,
    'sequence': 1,
    'born': 1,
}


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """
    What happens to some hosts for a time.

    :param kind: ``store`` (no answer from the store), ``peers`` (none from
        and to other hosts), ``frozen`` (neither), ``killed`` (refuses, too),
        or ``slow`` (all answers are late).
    :param hosts: numbers of the hosts.
    :param begins_s: time of its begin.
    :param ends_s: time of its end.
    """

    kind: str
    hosts: frozenset[int]
    begins_s: float
    ends_s: float

    def hits(self, host: int, now_s: float) -> bool:
        """Return whether it disturbs a host at a time."""
        return host in self.hosts and self.begins_s <= now_s < self.ends_s


class VirtualReplicas:
    """
    A store and hosts in failure domains, some of which watch it.

    :param hosts: number of hosts.
    :param domains: number of failure domains.
    :param bounds: limits of the fleet.
    :param disturbances: what happens to hosts.
    :param seed: seed of all random numbers.
    """

    def __init__(
        self,
        hosts: int,
        domains: int,
        bounds: FleetBounds,
        disturbances: tuple[Disturbance, ...],
        seed: int,
    ) -> None:
        self.disturbances = disturbances
        self.revision = 1
        #: Times at which the store acknowledged versions of the configuration.
        self.acknowledged_s_by_version: dict[int, float] = {}
        #: Calls that hosts made to the store.
        self.store_calls = 0
        self._entries: list[StoredEntry] = []
        #: Times at which the store acknowledged that servers leave, by number.
        self.acknowledged_s_by_leaving: dict[int, float] = {}
        for number in range(_SERVERS):
            self._write_server(number, 'ready')
        self.configure()
        self.members = tuple(
            _member(number, f'domain-{number % domains}')
            for number in range(hosts)
        )
        self.hosts = tuple(
            _Host(self, number, bounds, Random(f'{seed} {number}'))
            for number in range(hosts)
        )

    def configure(self) -> None:
        """Acknowledge the next version of the configuration."""
        version = len(self.acknowledged_s_by_version) + 1
        self.acknowledged_s_by_version[version] = _now_s()
        document = {**make_configuration(), 'version': version}
        self._write(CONFIGURATION_KEY, orjson.dumps(document))

    def leave(self) -> None:
        """Acknowledge that the next server leaves, if there is one."""
        number = len(self.acknowledged_s_by_leaving)
        if number < _SERVERS:
            self.acknowledged_s_by_leaving[number] = _now_s()
            self._write_server(number, 'draining')

    def watchers_of(self, number: int) -> tuple[int, ...]:
        """Return the numbers of the hosts that watch in a host's domain."""
        domain = self.members[number].failure_domain
        own = [
            other
            for other, member in enumerate(self.members)
            if member.failure_domain == domain
        ]
        return tuple(own[: max(2, -(-len(own) // 16))])

    def changes_after(self, after: StoreRevision) -> tuple[StoredEntry, ...]:
        """Return the entries written after a revision."""
        return tuple(e for e in self._entries if e.revision > after)

    def snapshot(self) -> Snapshot:
        """Return all keys."""
        newest = {entry.key: entry for entry in self._entries}
        return Snapshot(tuple(newest.values()), StoreRevision(1, self.revision))

    def is_hit(self, kinds: Collection[str], *hosts: int) -> bool:
        """Return whether one of some hosts is disturbed now."""
        now_s = _now_s()
        return any(
            each.kind in kinds and any(each.hits(host, now_s) for host in hosts)
            for each in self.disturbances
        )

    async def run(self, until_s: float) -> None:
        """Let all hosts run until a time."""
        tasks = [
            asyncio.create_task(task)
            for host in self.hosts
            for task in (host.follower.run(), host.replication.run())
        ]
        await asyncio.sleep(until_s - _now_s())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _write_server(self, number: int, state: str) -> None:
        entry = {
            **_SERVER,
            'address': f'127.0.0.1:{number + 1}',
            'state': state,
        }
        self._write(f'{SERVER_PREFIX}{_server(number)}', orjson.dumps(entry))

    def _write(self, key: str, payload: bytes) -> None:
        self.revision += 1
        revision = StoreRevision(1, self.revision)
        self._entries.append(StoredEntry(key, payload, revision))


class _Host:
    def __init__(
        self,
        fleet: VirtualReplicas,
        number: int,
        bounds: FleetBounds,
        random: Random,
    ) -> None:
        #: Times at which versions came into force.
        self.adopted_s_by_version: dict[int, float] = {}
        #: Number of times at which an older version came into force.
        self.regressions = 0
        #: Times at which servers were known to leave.
        self.left_s_by_server: dict[int, float] = {}
        self._tracker = ServerTracker()
        self.state = HostedStoreState(
            GatewayState(), self._tracker, lambda _: None
        )
        self.state.on_refresh = self._note_state
        self.state.apply_snapshot(fleet.snapshot())
        peers = tuple(
            m for m in fleet.members if m is not fleet.members[number]
        )
        watchers = fleet.watchers_of(number)
        followed = () if number in watchers else watchers
        self.replication = PeerReplication(
            self.state,
            cast(PeerClient, _Client(fleet, number)),
            lambda: peers,
            lambda: tuple(fleet.members[watcher] for watcher in followed),
            _no_version,
            random,
            bounds.knowledge_s,
        )
        self.follower = StoreFollower(
            _HostStore(fleet, number),
            ALL_KEYS,
            FollowPolicy.from_budget(
                FreshnessBudget.from_bound(bounds.knowledge_s)
            ),
            self.state,
            random,
            self.replication.watch_due_in_s,
        )

    def _note_state(self) -> None:
        version = self.state.configuration_version
        self.regressions += version < max(self.adopted_s_by_version, default=0)
        self.adopted_s_by_version.setdefault(version, _now_s())
        for number in range(_SERVERS):
            if _server(number) in self._tracker.leaving:
                self.left_s_by_server.setdefault(number, _now_s())


class _Client:
    """Requests of one host to its peers."""

    def __init__(self, fleet: VirtualReplicas, number: int) -> None:
        self._fleet = fleet
        self._number = number

    async def request(
        self, address: Address, request: FetchReplica, timeout_s: float
    ) -> ReplicaAnswer:
        """Return the answer of a peer, like ``PeerClient.request``."""
        peer = address.port
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(peer)
                replication = self._fleet.hosts[peer].replication
                answer = await replication.handle_fetch(request)
                await self._travel(peer)
                return answer
        except TimeoutError as error:
            raise BronzesillError(
                ResultCode.PEER_UNAVAILABLE, 'no answer'
            ) from error

    async def _travel(self, peer: int) -> None:
        fleet = self._fleet
        ends = (self._number, peer)
        is_slow = fleet.is_hit(('slow',), *ends)
        await asyncio.sleep(_SLOW_DELAY_S if is_slow else _PEER_DELAY_S)
        if fleet.is_hit(('killed',), *ends):
            raise BronzesillError(ResultCode.PEER_UNAVAILABLE, 'refused')
        if fleet.is_hit(('peers', 'frozen'), *ends):
            await asyncio.Event().wait()


class _HostStore(ReadOnlyStore):
    """The store as one host reaches it."""

    def __init__(self, fleet: VirtualReplicas, number: int) -> None:
        self._fleet = fleet
        self._number = number

    async def snapshot(self, prefix: str, *, may_be_stale: bool) -> Snapshot:
        """Return all keys."""
        return cast(Snapshot, await self._call(self._fleet.snapshot, 0))

    async def changes(
        self, prefix: str, after: StoreRevision, wait_s: float
    ) -> Changes:
        """Return the writes after a revision, once there are some."""

        def read() -> Changes:
            entries = self._fleet.changes_after(after)
            return Changes(entries, StoreRevision(1, self._fleet.revision))

        return cast(Changes, await self._call(read, wait_s))

    async def _call(self, read: Any, wait_s: float) -> Any:
        self._fleet.store_calls += 1
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S + wait_s):
                await self._travel()
                ends_s = _now_s() + wait_s
                answer = read()
                while not answer.entries and _now_s() < ends_s:
                    await asyncio.sleep(_POLL_S)
                    answer = read()
                await self._travel()
                return answer
        except TimeoutError as error:
            raise BronzesillError(
                ResultCode.STORE_ANSWER_LOST, 'no response'
            ) from error

    async def _travel(self) -> None:
        is_slow = self._fleet.is_hit(('slow',), self._number)
        delay_s = _SLOW_DELAY_S if is_slow else _STORE_DELAY_S
        await asyncio.sleep(delay_s / 2)
        if self._fleet.is_hit(('store', 'frozen', 'killed'), self._number):
            await asyncio.Event().wait()


def _no_version() -> int:
    return 0


def find_lags_s(
    fleet: VirtualReplicas, undisturbed: Collection[int], until_s: float
) -> tuple[float, ...]:
    """
    Return how long after its acknowledgement each change was known.

    Changes are versions of the configuration and servers that leave.

    :param fleet: the fleet after its run.
    :param undisturbed: numbers of the hosts that count.
    :param until_s: time at which the fleet ended.
    """
    hosts = [fleet.hosts[number] for number in undisturbed]
    versions = [
        _first_at_s(host, version, until_s) - acknowledged_s
        for host in hosts
        for version, acknowledged_s in fleet.acknowledged_s_by_version.items()
    ]
    leaving = [
        host.left_s_by_server.get(server, until_s) - acknowledged_s
        for host in hosts
        for server, acknowledged_s in fleet.acknowledged_s_by_leaving.items()
    ]
    return (*versions, *leaving)


def _server(number: int) -> str:
    return f'shop-{number}'


def _first_at_s(host: _Host, version: int, until_s: float) -> float:
    """Return when a version or a later one came into force."""
    return min(
        (
            adopted_s
            for adopted, adopted_s in host.adopted_s_by_version.items()
            if adopted >= version
        ),
        default=until_s,
    )


def _member(number: int, domain: str) -> Member:
    # The port of the address for peers is the number of the host.
    address = Address('127.0.0.1', number)
    return Member(
        name=f'host-{number}',
        region='r',
        failure_domain=domain,
        peers=address,
        callers=address,
        incarnation=1,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
