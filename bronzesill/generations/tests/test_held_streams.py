"""
Where streams go that may crash engines, without network.

Pattern: a stream, repeated at every host, ends each engine that runs it before
an answer begins; the hosts hear at once of each other's losses.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator, Callable, Coroutine
from random import Random
from typing import Any

from ...config import BackendServer
from ...routing import ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...upstream import ConnectionLost
from ...utils import Address, NullMetrics
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import EndArrived, TokensArrived
from ..request import GenerationRequest
from ..stall_detection import StallPolicy
from ..stream_client import AttemptRefused, StreamMessage, StreamOpening
from ..subscription import AnswerCompleted, AnswerFailed
from .sample_requests import make_request

_CRASHING = b'look up slot 13'
_HOSTS = 3
_ENGINES = 9
_CRASH_S = 0.05
#: Time after which an engine that has ended is no longer listed.
_LEASE_S = 2.0
_POLICY = StallPolicy(max_attempts=5)
#: Deadline of a stream; all end before.
_DEADLINE_S = 5.0
#: Time after a crash in which the fleet judges it.
_JUDGEMENT_S = 0.15
_MANY_CRASHES = 2
_BLOCKED_S = 600.0


class _Engines:
    """Engines that end on one prompt, and the hosts' views of them."""

    def __init__(self) -> None:
        self.up = {f'e-{number}' for number in range(_ENGINES)}
        self.arrivals: list[str] = []
        self.trackers: list[ServerTracker] = []

    def make_tracker(self) -> ServerTracker:
        """Return the records of one more host."""
        tracker = ServerTracker()
        tracker.replace_servers(self._listed())
        self.trackers.append(tracker)
        return tracker

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """Answer a prompt, or end on it."""
        if opening.server not in self.up:
            raise AttemptRefused('connection refused')
        self.arrivals.append(opening.server)
        await asyncio.sleep(_CRASH_S)
        if _body(opening.request) == _CRASHING:
            self._end(opening.server)
        if opening.server not in self.up:
            raise ConnectionLost('connection lost')
        yield TokensArrived(opening.attempt, 0, ('a',))
        yield EndArrived(opening.attempt, 1, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Return whether an engine accepts a connection."""
        return server in self.up

    @property
    def crashes(self) -> int:
        """Number of engines that have ended."""
        return _ENGINES - len(self.up)

    def _end(self, server: str) -> None:
        self.up.discard(server)
        now_s = asyncio.get_running_loop().time()
        for tracker in self.trackers:
            tracker.suspect(server, now_s)
        asyncio.get_running_loop().call_later(_LEASE_S, self._list_again)

    def _list_again(self) -> None:
        for tracker in self.trackers:
            tracker.replace_servers(self._listed())

    def _listed(self) -> dict[str, BackendServer]:
        return {
            name: BackendServer(
                Address('127.0.0.1', number),
                'abc'[number % 3],
                'v1',
                model='guide',
                capacity=8,
            )
            for number, name in enumerate(sorted(self.up))
        }


class _Fleet:
    """Hosts that send streams to the same engines."""

    def __init__(self) -> None:
        self.engines = _Engines()
        self.hosts = tuple(self._make_host(number) for number in range(_HOSTS))
        self._sent = 0

    async def send(
        self, host: GenerationsController, body: bytes
    ) -> AnswerCompleted | AnswerFailed:
        """Send a stream at a host and return its end."""
        self._sent += 1
        request = make_request(f'request-{self._sent}', _DEADLINE_S, body=body)
        queue = host.subscribe(request, 0, _POLICY)
        while True:
            event = await queue.get()
            if isinstance(event, AnswerCompleted | AnswerFailed):
                host.unsubscribe(request, queue)
                return event

    async def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts:
            await host.stop()

    def _make_host(self, number: int) -> GenerationsController:
        host = GenerationsController(
            f'h{number}',
            'abc'[number],
            self.engines.make_tracker(),
            self.engines,
            LocalDirectory(LocationTable()),
            NullMetrics(),
            Random(number),
        )
        host.placer.find_held_identity = self._hold_after_crashes
        return host

    def _hold_after_crashes(
        self, request: GenerationRequest, losses: int
    ) -> str:
        """Hold what has ended two engines, as all hosts are told of it."""
        is_suspected = self.engines.crashes >= _MANY_CRASHES
        if is_suspected and _body(request) == _CRASHING:
            return _CRASHING.decode()
        return ''


def _body(request: GenerationRequest) -> bytes:
    assert request.forward is not None
    return request.forward.body


def _hold_always(request: GenerationRequest, losses: int) -> str:
    return _body(request).decode()


def _run(play: Callable[[_Fleet], Coroutine[Any, Any, None]]) -> None:
    async def play_and_stop() -> None:
        fleet = _Fleet()
        await play(fleet)
        await fleet.stop()

    run_in_virtual_time(play_and_stop())


class HeldStreamTest(unittest.TestCase):
    """Such a stream risks one engine at a time, and never the last one."""

    # Guards against a model whose engines have all ended under one stream.
    def test_last_engine_is_not_risked(self) -> None:
        async def play(fleet: _Fleet) -> None:
            await asyncio.gather(
                *(fleet.send(host, _CRASHING) for host in fleet.hosts)
            )
            self.assertGreaterEqual(len(fleet.engines.up), 1)

        _run(play)

    # Guards against sound streams that find no engine after such a stream.
    def test_sound_stream_finds_an_engine(self) -> None:
        async def play(fleet: _Fleet) -> None:
            for host in fleet.hosts:
                await fleet.send(host, _CRASHING)
            for host in fleet.hosts:
                end = await fleet.send(host, b'look up slot 14')
                self.assertIsInstance(end, AnswerCompleted)

        _run(play)

    # Guards against repeats that each end another engine.
    def test_repeats_share_an_engine(self) -> None:
        async def play(fleet: _Fleet) -> None:
            for host in fleet.hosts:
                host.placer.find_held_identity = _hold_always
            await asyncio.gather(
                *(fleet.send(host, b'suspect') for host in fleet.hosts)
            )
            servers = set(fleet.engines.arrivals)
            self.assertEqual(len(fleet.engines.arrivals), _HOSTS)
            self.assertEqual(len(servers), 1)

        _run(play)

    # Guards against sound streams that stay on the engines of a crashing one.
    def test_streams_that_were_lost_together_come_apart(self) -> None:
        async def play(fleet: _Fleet) -> None:
            host = fleet.hosts[0]
            host.placer.find_held_identity = _hold_always
            for number in range(2 * _ENGINES):
                await fleet.send(host, b'suspect %d' % number)
            servers = set(fleet.engines.arrivals)
            self.assertGreater(len(servers), _ENGINES // 2)

        _run(play)

    # Guards against attempts that outrun the judgement of the last crash.
    def test_held_stream_waits_for_the_judgement(self) -> None:
        async def play(fleet: _Fleet) -> None:
            host = fleet.hosts[0]
            judged_at_s = asyncio.get_running_loop().time() + (
                _MANY_CRASHES * _CRASH_S + _JUDGEMENT_S
            )
            host.placer.blocked_for_s = lambda _: (
                _BLOCKED_S
                if asyncio.get_running_loop().time() > judged_at_s
                else 0
            )
            await fleet.send(host, _CRASHING)
            self.assertEqual(len(fleet.engines.arrivals), _MANY_CRASHES)

        _run(play)
