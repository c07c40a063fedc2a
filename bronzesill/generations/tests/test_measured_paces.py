"""
Paces of engines, measured on the streams of a host.

Pattern: each of 66 hosts starts a stream every six seconds; an answer takes
four seconds, in which engines change.
"""

import asyncio
import unittest
from collections.abc import AsyncIterator
from random import Random
from typing import Any, cast

from ...config import BackendServer
from ...routing import LoadReport, ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address, NullMetrics
from ..attempt import AttemptRunner
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import OpenAttempt, TokensArrived
from ..stream_client import StreamOpening
from .sample_requests import make_request

_GAP_S = 0.03
_EVENTS = 12


class _Engine:
    """Engine that sends a number of events and then no more."""

    async def read(self, opening: StreamOpening) -> AsyncIterator[Any]:
        for number in range(_EVENTS):
            await asyncio.sleep(_GAP_S)
            yield TokensArrived(opening.attempt, number, ('token',))
        await asyncio.Event().wait()


async def _measure(slowdown: float | None) -> float | None:
    tracker = ServerTracker()
    address = Address('10.0.0.1', 80)
    tracker.replace_servers(
        {'e-0': BackendServer(address, 'a', 'v1', model='guide')}
    )
    tracker.reported('e-0', LoadReport(0, '', 0, slowdown))
    client = cast('Any', _Engine())
    directory = LocalDirectory(LocationTable())
    controller = GenerationsController(
        'h0', 'a', tracker, client, directory, NullMetrics(), Random(1)
    )
    runner = AttemptRunner(
        client, lambda _: address, controller.observer, asyncio.Queue()
    )
    runner.open(make_request('r1', 60), OpenAttempt(1, 'e-0', 0), ())
    await asyncio.sleep(_EVENTS * _GAP_S + 0.01)
    await runner.close()
    return tracker.speeds.typical_pace_s('guide')


class MeasuredPaceTest(unittest.TestCase):
    """A stream tells the pace of its engine before its end."""

    def test_pace_is_measured_while_the_stream_runs(self) -> None:
        pace_s = run_in_virtual_time(_measure(1.0))
        assert pace_s is not None
        self.assertAlmostEqual(pace_s, _GAP_S)

    def test_pace_of_servers_without_slowdowns_is_not_used(self) -> None:
        self.assertIsNone(run_in_virtual_time(_measure(None)))


if __name__ == '__main__':
    unittest.main()
