"""
A call crashes server after server of a service, without network.

Pattern: the call is repeated every 0.3 s under new ids at any host, beside
sound calls of the same account and path; servers are back after 3 s under new
names; datagrams between hosts take 1 to 5 ms and one in fifty is lost.
"""

from __future__ import annotations

import asyncio
import dataclasses
import types
import unittest
from collections.abc import Callable
from random import Random
from typing import Any, cast

from ...calls import CallAnswer, CallResult, IdempotentCalls, ServiceServers
from ...calls.interfaces import CallRequest, RoutedCall
from ...config import BackendServer, Route
from ...membership import (
    Fact,
    FleetView,
    GossipUpdates,
    Member,
    ViewUpdated,
)
from ...quarantine import request_suspect
from ...routing import ServerTracker, TrafficSplit
from ...standins.virtual_time import run_in_virtual_time
from ...store import StoredEntry, StoreRevision
from ...upstream import ConnectionLost, ForwardRequest, Target
from ...utils import Address, BronzesillError, ResultCode
from ..quarantine import Quarantine

_CRASHING_BODY = b'look up slot 13'
_CONTACT_S = 3.0
_MAX_LATE = 3
_CRASHES = 3
_LENGTH_S = 12.0
_REPEAT_S = 0.3
_WORK_S = 0.06
_DOWN_S = 3.0
_DEADLINE_S = 1.5
_DATAGRAM_LOSS = 0.02
#: Time after which gossip has reached all hosts.
_GOSSIP_S = 2.0
#: Time after which other hosts know of a failure.
_USE_REPORT_S = 0.05
#: Hosts, servers and sound calls a second.
_SHAPES = (
    (7, 3, 40),
    (7, 6, 40),
    (7, 48, 40),
    (59, 3, 40),
    (59, 48, 200),
    (195, 5, 100),
    (195, 48, 200),
)


@dataclasses.dataclass
class _Server:
    name: str
    running: set[asyncio.Future[None]] = dataclasses.field(default_factory=set)
    is_up: bool = True


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """
    What callers and servers saw.

    :param crashes: servers that ended.
    :param late: crashing calls that reached servers too late.
    :param sound_share: share of the sound calls that were served.
    :param wrongly_blocked: blocked suspects other than the crashing call.
    :param dark_s: seconds in which no server was up.
    """

    crashes: int
    late: int
    sound_share: float
    wrongly_blocked: int
    dark_s: float


class _Host:
    """One host: its own view of the servers, and the real decisions."""

    def __init__(
        self, fleet: _Fleet, member: Member, *, is_guarded: bool
    ) -> None:
        self._fleet = fleet
        self.handlers_by_type: dict[type, Callable[[object], None]] = {}
        self.tracker = ServerTracker()
        self.membership = types.SimpleNamespace(
            own=member,
            view=fleet.view,
            listeners=[],
            publish_fact=self._publish_fact,
        )
        self.quarantine = Quarantine(
            cast(
                'Any',
                types.SimpleNamespace(
                    membership=self.membership,
                    socket=types.SimpleNamespace(send=fleet.send),
                    datagram_router=types.SimpleNamespace(
                        handlers_by_type=self.handlers_by_type
                    ),
                ),
            ),
            cast('Any', None),
            bool,
            self.tracker,
            cast('Any', types.SimpleNamespace(probe=fleet.probe)),
        )
        self.quarantine.apply_store_changes((_secret_entry(),))
        self._servers = ServiceServers(
            self.tracker,
            lambda _: TrafficSplit(''),
            self._record,
            fleet.random,
            self.quarantine if is_guarded else None,
        )
        self.calls = IdempotentCalls(self, self._servers)

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """Send a call as a pooled connection would."""
        try:
            await self._fleet.run_call(server, routed.call.body)
        except ConnectionRefusedError as error:
            self._fleet.tell_failure(server)
            self._servers.note_unreachable(server)
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN, 'not run: refused'
            ) from error
        except ConnectionLost as error:
            self._fleet.tell_failure(server)
            raise BronzesillError(
                ResultCode.CALL_OUTCOME_UNKNOWN, 'lost'
            ) from error
        return CallAnswer(200, '', b'')

    def _record(self, result: CallResult) -> None:
        assert result.forward is not None
        if result.is_answered:
            self.quarantine.record_answer(result.forward)
        elif result.is_disconnected:
            self.quarantine.losses.record_loss(
                result.forward, result.server, result.latency_s
            )

    def _publish_fact(self, fact: Fact) -> None:
        self._fleet.spread(fact)


class _Fleet:
    """Hosts and servers in virtual time."""

    def __init__(
        self, hosts: int, servers: int, seed: int, *, is_guarded: bool
    ) -> None:
        self.random = Random(seed)
        members = tuple(
            Member(
                f'h{number}',
                'r',
                'abc'[number % 3],
                Address('h', number),
                Address('c', number),
                1,
            )
            for number in range(hosts)
        )
        self.view = FleetView().merge(GossipUpdates(members)).view
        self._host_by_address = {
            member.peers: _Host(self, member, is_guarded=is_guarded)
            for member in members
        }
        self.hosts = tuple(self._host_by_address.values())
        self._servers = {
            number: _Server(f's{number}.0') for number in range(servers)
        }
        self._crashes_s: list[float] = []
        self._arrivals_s: list[float] = []
        self._dark_since_s: float | None = None
        self._dark_s = 0.0
        self._list_servers()

    def send(self, address: Address, message: object) -> None:
        """Deliver a datagram later, or not at all."""
        if self.random.random() < _DATAGRAM_LOSS:
            return
        host = self._host_by_address[address]
        asyncio.get_running_loop().call_later(
            self.random.uniform(0.001, 0.005),
            host.handlers_by_type[type(message)],
            message,
        )

    def tell_failure(self, server: str) -> None:
        """Tell all hosts of a failure, as reports of use do."""
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            loop.call_later(
                _USE_REPORT_S, host.tracker.suspect, server, loop.time()
            )

    def spread(self, fact: Fact) -> None:
        """Spread a fact by gossip, which takes some time."""
        updates = GossipUpdates(facts=(fact,))
        change = ViewUpdated(updates, None)
        for host in self.hosts:
            for listener in host.membership.listeners:
                asyncio.get_running_loop().call_later(
                    self.random.uniform(0.1, _GOSSIP_S), listener, change
                )

    async def probe(self, target: Target) -> bool:
        """Return whether a server accepts a connection."""
        await asyncio.sleep(0.002)
        return self._find(target.name) is not None

    async def run_call(self, name: str, body: bytes) -> None:
        """Run a call on a server, which may end meanwhile."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.001)
        number = self._find(name)
        if number is None:
            raise ConnectionRefusedError
        server = self._servers[number]
        ended: asyncio.Future[None] = loop.create_future()
        server.running.add(ended)
        if body == _CRASHING_BODY:
            self._arrivals_s.append(loop.time())
            crash_s = self.random.uniform(0.036, 0.12)
            loop.call_later(crash_s, self._crash, number, name)
        else:
            loop.call_later(_WORK_S, _finish, ended)
        try:
            await ended
        finally:
            server.running.discard(ended)

    async def play(self, sound_per_s: int) -> _Outcome:
        """Send crashing and sound calls for a while."""
        crashing = asyncio.create_task(
            self._send_calls(_REPEAT_S, lambda _: _CRASHING_BODY)
        )
        sound = await self._send_calls(
            1 / sound_per_s, lambda number: b'look up %d' % number
        )
        await crashing
        return self._summarize(sound)

    async def _send_calls(
        self, pause_s: float, make_body: Callable[[int], bytes]
    ) -> list[bool]:
        calls = []
        for number in range(int(_LENGTH_S / pause_s)):
            host = self.random.choice(self.hosts)
            calls.append(
                asyncio.create_task(self._call(host, make_body(number)))
            )
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*calls)

    async def _call(self, host: _Host, body: bytes) -> bool:
        try:
            await host.calls.run(_route_call(body, self.random.random()))
        except BronzesillError:
            return False
        return True

    def _summarize(self, sound: list[bool]) -> _Outcome:
        late_from_s = (
            self._crashes_s[_CRASHES - 1] + _CONTACT_S
            if len(self._crashes_s) >= _CRASHES
            else _LENGTH_S
        )
        quarantine = self.hosts[0].quarantine
        guilty = request_suspect(
            quarantine.identity(_forward(_CRASHING_BODY, ''))
        )
        blocked = {
            suspect
            for host in self.hosts
            for suspect in host.quarantine.blocked.by_suspect
        }
        return _Outcome(
            len(self._crashes_s),
            sum(arrival_s > late_from_s for arrival_s in self._arrivals_s),
            sum(sound) / len(sound),
            len(blocked - {guilty}),
            self._dark_s,
        )

    def _find(self, name: str) -> int | None:
        number = int(name[1:].partition('.')[0])
        server = self._servers[number]
        return number if server.is_up and server.name == name else None

    def _crash(self, number: int, name: str) -> None:
        server = self._servers[number]
        if server.name != name or not server.is_up:
            return
        server.is_up = False
        now_s = asyncio.get_running_loop().time()
        self._crashes_s.append(now_s)
        if not any(other.is_up for other in self._servers.values()):
            self._dark_since_s = now_s
        for ended in tuple(server.running):
            if not ended.done():
                ended.set_exception(ConnectionLost('lost'))
        asyncio.get_running_loop().call_later(_DOWN_S, self._restart, number)

    def _restart(self, number: int) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._dark_since_s is not None:
            self._dark_s += now_s - self._dark_since_s
            self._dark_since_s = None
        start = int(self._servers[number].name.partition('.')[2]) + 1
        self._servers[number] = _Server(f's{number}.{start}')
        self._list_servers()

    def _list_servers(self) -> None:
        listed = {
            server.name: BackendServer(
                Address('s', number),
                'abc'[number % 3],
                'v1',
                service='shop',
            )
            for number, server in self._servers.items()
        }
        for host in self.hosts:
            host.tracker.replace_servers(listed)


def _finish(ended: asyncio.Future[None]) -> None:
    if not ended.done():
        ended.set_result(None)


def _secret_entry() -> StoredEntry:
    return StoredEntry(
        '/bronzesill/fleet-secret', b'0123456789abcdef', StoreRevision(1, 1)
    )


def _forward(body: bytes, request_id: str) -> ForwardRequest:
    return ForwardRequest(request_id, 'POST', b'/lookups', (), body, 'huka', 9)


def _route_call(body: bytes, number: float) -> RoutedCall:
    forward = _forward(body, f'request-{number}')
    return RoutedCall(
        call=CallRequest('POST', '/lookups', {}, body),
        route_name='lookups',
        route=Route('/', 'shop', idempotent=True),
        account='huka',
        request_id=forward.request_id,
        key='',
        deadline_at_s=asyncio.get_running_loop().time() + _DEADLINE_S,
        forward=forward,
    )


def play(
    shape: tuple[int, int, int], seed: int, *, is_guarded: bool = True
) -> _Outcome:
    """
    Play one seed of the pattern.

    :param shape: hosts, servers and sound calls a second.
    :param seed: seed of all random choices.
    :param is_guarded: whether calls are judged.
    """
    hosts, servers, sound_per_s = shape

    async def play_fleet() -> _Outcome:
        fleet = _Fleet(hosts, servers, seed, is_guarded=is_guarded)
        return await fleet.play(sound_per_s)

    return run_in_virtual_time(play_fleet())


class CrashWaveTest(unittest.TestCase):
    """The call is sent no more, and only that call."""

    # Guards against a service that goes dark again and again under one call.
    def test_waves_end(self) -> None:
        for shape in _SHAPES:
            with self.subTest(shape=shape):
                outcome = play(shape, 1)
                self.assertLessEqual(outcome.late, _MAX_LATE)
                self.assertEqual(outcome.wrongly_blocked, 0)
