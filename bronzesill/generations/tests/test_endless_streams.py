"""
Streams without end, and what a host keeps of them, without network.

Pattern: a faulty engine answers all its requests with events without end.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from random import Random
from typing import TypeAlias

from ...config import BackendServer
from ...routing import ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...upstream import AnswerMemory
from ...utils import Address, NullMetrics
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import EndArrived, TokensArrived
from ..stall_detection import StallPolicy
from ..stream_client import StreamMessage, StreamOpening
from ..subscription import (
    AcceptedTokens,
    AnswerCompleted,
    AnswerFailed,
    Subscription,
)
from .sample_requests import make_request

_MAX_KEPT_BYTES = 40_000
_EVENT = 'x' * 100
_PACE_S = 0.01
_STREAMS = 8
_UNREAD_STREAMS = 40
_SOUND_EVENTS = 20
_DEADLINE_S = 8.0
#: All answers without end have been given up by then.
_CHECK_AFTER_S = 6.0

_Read: TypeAlias = tuple[int, AnswerCompleted | AnswerFailed]


class _Engine:
    """Engine that ends the answers of sound requests only."""

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """Send events; those of sound requests have an end."""
        is_sound = opening.request.request_id.startswith('sound')
        number = len(opening.accepted)
        while not is_sound or number < _SOUND_EVENTS:
            await asyncio.sleep(_PACE_S)
            yield TokensArrived(opening.attempt, number, (_EVENT,))
            number += 1
        yield EndArrived(opening.attempt, number, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Accept a connection."""
        return True


def _make_controller() -> GenerationsController:
    tracker = ServerTracker()
    address = Address('127.0.0.1', 1)
    tracker.replace_servers(
        {'e-0': BackendServer(address, 'a', 'v1', model='guide', capacity=99)}
    )
    controller = GenerationsController(
        'h0',
        'a',
        tracker,
        _Engine(),
        LocalDirectory(LocationTable()),
        NullMetrics(),
        Random(1),
    )
    controller.memory = AnswerMemory(_MAX_KEPT_BYTES)
    return controller


class _Host:
    """A host whose only engine does not end all its answers."""

    def __init__(self) -> None:
        self.controller = _make_controller()
        self.most_kept_bytes = 0

    def subscribe(self, request_id: str) -> Subscription:
        """Begin a request."""
        return self.controller.subscribe(
            make_request(request_id, _DEADLINE_S, can_reconnect=True),
            0,
            StallPolicy(max_attempts=5),
        )

    async def read(self, request_id: str) -> _Read:
        """Return the number of events of an answer and its end."""
        queue = self.subscribe(request_id)
        count = 0
        while True:
            message = await queue.get()
            if isinstance(message, AcceptedTokens):
                count += len(message.tokens)
                self._note_kept()
            elif isinstance(message, AnswerCompleted | AnswerFailed):
                return count, message

    def _note_kept(self) -> None:
        kept = sum(
            sum(map(len, task.accepted_tokens.texts))
            for task in self.controller.tasks_by_key.values()
        )
        self.most_kept_bytes = max(self.most_kept_bytes, kept)


def _unread_bytes(queue: Subscription) -> int:
    unread = queue._queue  # type: ignore[attr-defined]
    return sum(
        sum(map(len, message.tokens))
        for message in unread
        if isinstance(message, AcceptedTokens)
    )


class EndlessStreamTest(unittest.TestCase):
    """A host keeps a bounded part of answers without end."""

    # Guards against a host whose memory fills with the events of streams that
    # it gave up: their attempts were counted, their tokens were kept.
    def test_kept_bytes_are_bounded(self) -> None:
        host = _Host()
        endless, sound = run_in_virtual_time(self._play(host))
        # One event may arrive before the largest answer is given up.
        self.assertLessEqual(
            host.most_kept_bytes, _MAX_KEPT_BYTES + _STREAMS * len(_EVENT)
        )
        for _, end in endless:
            self.assertIsInstance(end, AnswerFailed)
        self.assertEqual(sound, (_SOUND_EVENTS, AnswerCompleted(20, '')))

    # Guards against an answer that is given up and looks complete or empty to
    # a caller that reconnects.
    def test_reconnected_caller_gets_a_failure(self) -> None:
        count, end = run_in_virtual_time(self._reconnect(_Host()))
        self.assertEqual(count, 0)
        self.assertIsInstance(end, AnswerFailed)

    # Guards against tokens that are given up and stay with callers that do not
    # read, where nothing counts them.
    def test_unread_bytes_are_bounded(self) -> None:
        most_bytes = run_in_virtual_time(self._leave_unread(_Host()))
        self.assertLessEqual(
            most_bytes, _MAX_KEPT_BYTES + _UNREAD_STREAMS * len(_EVENT)
        )

    async def _leave_unread(self, host: _Host) -> int:
        queues = [
            host.subscribe(f'endless-{number}')
            for number in range(_UNREAD_STREAMS)
        ]
        loop = asyncio.get_running_loop()
        most_bytes = 0
        while loop.time() < _CHECK_AFTER_S:
            await asyncio.sleep(_PACE_S)
            most_bytes = max(most_bytes, sum(map(_unread_bytes, queues)))
        await host.controller.stop()
        return most_bytes

    async def _play(self, host: _Host) -> tuple[list[_Read], _Read]:
        async with asyncio.timeout(_CHECK_AFTER_S):
            endless = [
                asyncio.create_task(host.read(f'endless-{number}'))
                for number in range(_STREAMS)
            ]
            sound = await host.read('sound')
            ends = await asyncio.gather(*endless)
        await host.controller.stop()
        return ends, sound

    async def _reconnect(self, host: _Host) -> _Read:
        await host.read('endless')
        again = await host.read('endless')
        await host.controller.stop()
        return again


if __name__ == '__main__':
    unittest.main()
