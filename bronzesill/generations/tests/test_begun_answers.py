"""
Streams that have begun, on a host that takes no new ones, without network.

Pattern: a host that stops, or that callers have left, still runs long answers
when one of their engines ends.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from random import Random

from ...config import BackendServer
from ...limits import FleetRetryAllowance, RetryBounds
from ...routing import ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...upstream import ConnectionLost
from ...utils import Address, NullMetrics
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import EndArrived, TokensArrived
from ..stall_detection import StallPolicy
from ..stream_client import StreamMessage, StreamOpening
from ..subscription import AcceptedTokens, AnswerCompleted
from .sample_requests import make_request

_DAEMONS = 8
_STREAMS = 48
_EVENTS = 100
_PACE_S = 0.2
#: All first attempts have left the window of the retry bounds by then.
_ENGINE_ENDS_AT_S = 12.0
_DEADLINE_S = 60.0
#: Longest pause of an answer whose engine ends: the next engine begins.
_MAX_PAUSE_S = 1.0
_POLICY = StallPolicy(max_attempts=5, no_server_retry_s=0.1)


class _Engines:
    """Two engines, of which one ends all its streams at once."""

    def __init__(self) -> None:
        self.ended: set[str] = set()

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """Send the rest of an answer, or end with the engine."""
        for number in range(len(opening.accepted), _EVENTS):
            await asyncio.sleep(_PACE_S)
            if opening.server in self.ended:
                raise ConnectionLost('connection lost')
            yield TokensArrived(opening.attempt, number, ('a',))
        yield EndArrived(opening.attempt, _EVENTS, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Return whether an engine accepts a connection."""
        return server not in self.ended


class _Host:
    """A host that is one of many, with the fleet's bounds on retries."""

    def __init__(self) -> None:
        self.engines = _Engines()
        self.tracker = ServerTracker()
        self.tracker.replace_servers(_list_servers('e-0', 'e-1'))
        self.controller = GenerationsController(
            'h0',
            'a',
            self.tracker,
            self.engines,
            LocalDirectory(LocationTable()),
            NullMetrics(),
            Random(1),
        )
        self.controller.placer.allowance = FleetRetryAllowance(
            RetryBounds(ratio=0.8, window_s=10, slack=150), lambda: _DAEMONS
        )

    def end_engine(self, server: str) -> None:
        """End an engine with all its streams."""
        self.engines.ended.add(server)
        self.tracker.replace_servers(_list_servers('e-1'))

    async def longest_pause_s(self, number: int) -> float:
        """Run a stream to its end; return its longest pause in seconds."""
        request = make_request(f'request-{number}', _DEADLINE_S)
        queue = self.controller.subscribe(request, 0, _POLICY)
        loop = asyncio.get_running_loop()
        pause_s = 0.0
        event = await queue.get()
        arrived_at_s = loop.time()
        while isinstance(event, AcceptedTokens):
            event = await queue.get()
            pause_s = max(pause_s, loop.time() - arrived_at_s)
            arrived_at_s = loop.time()
        assert isinstance(event, AnswerCompleted)
        self.controller.unsubscribe(request, queue)
        return pause_s


def _list_servers(*names: str) -> dict[str, BackendServer]:
    return {
        name: BackendServer(
            Address('127.0.0.1', 1),
            'a',
            'v1',
            model='guide',
            capacity=2 * _STREAMS,
        )
        for name in names
    }


async def _lose_engine_late() -> list[float]:
    host = _Host()
    loop = asyncio.get_running_loop()
    loop.call_at(_ENGINE_ENDS_AT_S, host.end_engine, 'e-0')
    pauses_s = await asyncio.gather(
        *(host.longest_pause_s(number) for number in range(_STREAMS))
    )
    await host.controller.stop()
    return pauses_s


class BegunAnswerTest(unittest.TestCase):
    """Answers that have begun go on at once."""

    # Guards against begun answers that wait for the bound on retries, which
    # shrinks while a host takes no new requests, until the host has exited.
    def test_answers_go_on_at_a_host_without_new_requests(self) -> None:
        pauses_s = run_in_virtual_time(_lose_engine_late())
        late = [pause_s for pause_s in pauses_s if pause_s > _MAX_PAUSE_S]
        self.assertEqual(late, [])


if __name__ == '__main__':
    unittest.main()
