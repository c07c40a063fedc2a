"""
Streams that a stopping host refuses while it chooses a server, no network.

Pattern: a host that is held up ends a request in the same moment in which a
server has been chosen for it; a refusal promises that it never runs.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from random import Random
from unittest import mock

from ...config import BackendServer
from ...gateway.state import OpenRequest, OpenRequests
from ...generations import GenerationRequest, GenerationsController
from ...generations.locations import LocalDirectory, LocationTable
from ...generations.messages import EndArrived
from ...generations.stream_client import StreamMessage, StreamOpening
from ...routing import ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...upstream import ForwardRequest
from ...utils import Address, BronzesillError, NullMetrics, ResultCode

_DEADLINE_S = 20.0
#: Turns of the event loop between the choice and the end of the request.
_TURNS = range(12)


class _Engine:
    """Engine that counts the requests that it gets."""

    def __init__(self) -> None:
        self.requests = 0

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """Send an empty answer."""
        self.requests += 1
        yield EndArrived(opening.attempt, 0, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        """Accept all connections."""
        return True


def _make_controller(engine: _Engine) -> GenerationsController:
    tracker = ServerTracker()
    tracker.replace_servers(
        {
            'e-0': BackendServer(
                Address('127.0.0.1', 1), 'a', 'v1', model='guide', capacity=2
            )
        }
    )
    return GenerationsController(
        'h0',
        'a',
        tracker,
        engine,
        LocalDirectory(LocationTable()),
        NullMetrics(),
        Random(1),
    )


def _make_request() -> GenerationRequest:
    return GenerationRequest(
        'r',
        'gen-r',
        'huka',
        'guide',
        'v1',
        '',
        1,
        0,
        _DEADLINE_S,
        forward=ForwardRequest(
            'r', 'POST', b'/guides', (), b'', 'huka', _DEADLINE_S
        ),
    )


async def _leave_after(turns: int) -> tuple[bool, int]:
    """Return whether a request counted as sent, and what the engine got."""
    engine = _Engine()
    controller = _make_controller(engine)
    chosen = asyncio.Event()
    controller.placer.refresh_usage = chosen.wait  # type: ignore[assignment]
    request = _make_request()
    queue = controller.subscribe(request, 0)
    await asyncio.sleep(1)
    chosen.set()
    for _ in range(turns):
        await asyncio.sleep(0)
    has_sent = controller.has_sent(request)
    controller.unsubscribe(request, queue)
    await asyncio.sleep(1)
    await controller.stop()
    return has_sent, engine.requests


class RefusedStreamTest(unittest.TestCase):
    """Requests whose only reader has left before they were sent."""

    # Guards against streams that were answered "not run" and then sent to a
    # server that had been chosen meanwhile.
    def test_stream_is_not_sent_after_its_reader_left(self) -> None:
        unsent = 0
        for turns in _TURNS:
            with self.subTest(turns=turns):
                has_sent, received = run_in_virtual_time(_leave_after(turns))
                unsent += not has_sent
                self.assertFalse(received and not has_sent)
        self.assertGreater(unsent, 1)
        self.assertLess(unsent, len(_TURNS))


class SentMeanwhileTest(unittest.IsolatedAsyncioTestCase):
    """Requests that are sent while a stopping host ends them."""

    # Guards against the answer "not run" to a stream that was sent between
    # the decision to refuse it and the end of its work.
    async def test_request_sent_meanwhile_is_of_unknown_outcome(self) -> None:
        for has_sent, code in (
            (False, ResultCode.STOPPING),
            (True, ResultCode.CALL_OUTCOME_UNKNOWN),
        ):
            with self.subTest(has_sent=has_sent):
                error = await self._end(has_sent_later=has_sent)
                self.assertIs(error.code, code)

    async def _end(self, *, has_sent_later: bool) -> BronzesillError:
        requests = OpenRequests()
        request = OpenRequest(
            mock.Mock(side_effect=(False, has_sent_later)),
            lambda now_s: now_s + _DEADLINE_S,
        )
        with mock.patch(
            'bronzesill.gateway.state.run_until_disconnect',
            lambda http, task: task,
        ):
            running = asyncio.create_task(
                requests.run(mock.Mock(), asyncio.sleep(_DEADLINE_S), request)
            )
            await asyncio.sleep(0)
            requests.end_before(0, 0)
            with self.assertRaises(BronzesillError) as caught:
                await running
        return caught.exception


if __name__ == '__main__':
    unittest.main()
