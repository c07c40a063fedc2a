"""
Streams that wait in the queue of their host, without network.

Pattern: all engines are full or gone for a while, and streams of different
priority, some with a part of their answer, wait for one.
"""

from __future__ import annotations

import asyncio
import dataclasses
import unittest
from collections.abc import AsyncIterator
from random import Random
from unittest import mock

from ...config import BackendServer
from ...limits.waiting import WaitingRequests
from ...routing import ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address, NullMetrics, ResultCode
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import EndArrived, TokensArrived
from ..request import GenerationRequest
from ..stall_detection import StallPolicy
from ..stream_client import StreamMessage, StreamOpening
from ..stream_queue import WaitingStreams
from ..subscription import AnswerFailed
from .sample_requests import make_request

_POLICY = StallPolicy(max_attempts=5, no_server_retry_s=0.1)
_DEADLINE_S = 9.0
_SERVERS = {
    'e-0': BackendServer(Address('127.0.0.1', 1), 'a', 'v1', model='guide')
}


class _Engine:
    """Engine that notes the requests it gets, and answers each at once."""

    def __init__(self) -> None:
        self.requests: list[str] = []

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """Send an answer of one event."""
        self.requests.append(opening.request.request_id)
        if not opening.accepted:
            yield TokensArrived(opening.attempt, 0, ('a',))
        yield EndArrived(opening.attempt, 1, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Accept all connections."""
        return True


class _Host:
    """A host whose engines are away at first."""

    def __init__(self) -> None:
        self.engine = _Engine()
        self.tracker = ServerTracker()
        self.controller = GenerationsController(
            'h0',
            'a',
            self.tracker,
            self.engine,
            LocalDirectory(LocationTable()),
            NullMetrics(),
            Random(1),
        )
        self.waiting = WaitingRequests(Random(1), NullMetrics())
        self.controller.placer.queue = WaitingStreams(self.waiting)

    def begin(self, request_id: str, rank: int = 0, received: int = 0) -> None:
        """Begin a stream."""
        request = _make_request(request_id, rank, received)
        self.controller.subscribe(request, 0, _POLICY)

    async def failure(self, request_id: str) -> AnswerFailed:
        """Run a stream that fails, and return its failure."""
        request = _make_request(request_id, 0, 0)
        queue = self.controller.subscribe(request, 0, _POLICY)
        event = await queue.get()
        assert isinstance(event, AnswerFailed)
        return event

    def bring_engines(self) -> None:
        """Let the engines return."""
        self.tracker.replace_servers(_SERVERS)


def _make_request(
    request_id: str, rank: int, received: int
) -> GenerationRequest:
    request = make_request(request_id, _DEADLINE_S, can_reconnect=True)
    assert request.forward is not None
    forward = dataclasses.replace(
        request.forward,
        priority_rank=rank,
        caller=dataclasses.replace(
            request.forward.caller, events_received=received
        ),
    )
    return dataclasses.replace(request, forward=forward)


async def _serve_after_outage() -> list[str]:
    host = _Host()
    host.begin('bulk', 1)
    host.begin('urgent', 0)
    host.begin('begun', 1, received=5)
    await asyncio.sleep(0.95)
    host.bring_engines()
    with mock.patch.object(
        host.waiting, 'found', side_effect=host.waiting.found
    ) as found:
        await asyncio.sleep(0.11)
    await host.controller.stop()
    assert len(host.engine.requests) == found.call_count
    return [call.args[1] for call in found.call_args_list]


async def _stop_while_waiting() -> tuple[AnswerFailed, list[str]]:
    host = _Host()
    failing = asyncio.create_task(host.failure('r'))
    await asyncio.sleep(0.5)
    host.waiting.refuse_all()
    failure = await failing
    host.bring_engines()
    await asyncio.sleep(1)
    await host.controller.stop()
    return failure, host.engine.requests


async def _refuse_while_sent() -> list[str]:
    host = _Host()
    host.begin('r')
    await asyncio.sleep(0.5)
    host.bring_engines()
    await asyncio.sleep(0.2)
    host.waiting.refuse_all()
    await asyncio.sleep(0.2)
    await host.controller.stop()
    return host.engine.requests


async def _count_choices() -> int:
    host = _Host()
    host.bring_engines()
    with mock.patch.object(host.waiting, 'join') as join:
        for number in range(20):
            host.begin(f'r{number}')
        await asyncio.sleep(1)
    await host.controller.stop()
    return join.call_count


class WaitingStreamsTest(unittest.TestCase):
    """Streams wait in the order of the queue, and are refused truthfully."""

    def test_begun_answers_then_urgent_ones_go_first(self) -> None:
        """Guards against engines that go to whichever timer fires first."""
        requests = run_in_virtual_time(_serve_after_outage())
        self.assertEqual(requests, ['huka/begun', 'huka/urgent', 'huka/bulk'])

    def test_stop_refuses_what_waits_and_never_sends_it(self) -> None:
        """Guards against "not run" for a stream that is sent later."""
        failure, requests = run_in_virtual_time(_stop_while_waiting())
        self.assertIs(failure.code, ResultCode.STOPPING)
        self.assertEqual(requests, [])

    def test_stream_that_was_sent_is_not_refused(self) -> None:
        """Guards against "not run" for a stream that has run."""
        self.assertEqual(run_in_virtual_time(_refuse_while_sent()), ['r'])

    def test_nothing_waits_while_engines_have_room(self) -> None:
        """Guards against deployments that are served in another way."""
        self.assertEqual(run_in_virtual_time(_count_choices()), 0)


if __name__ == '__main__':
    unittest.main()
