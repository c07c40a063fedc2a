"""
What a host knows of the work of engines reaches its decisions and its log.

Load pattern: an engine prefills a prompt that another host sent, and its stream
on this host gets an event every 0.45 s.
"""

from __future__ import annotations

import asyncio
import dataclasses
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from random import Random
from typing import Any
from unittest import mock

from ...config import BackendServer
from ...routing import LoadReport, ServerTracker, ServerUse, UseReport
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address, NullMetrics
from .. import task
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import EndArrived, TokensArrived
from ..stall_detection import StallPolicy
from ..stream_client import StreamMessage, StreamOpening
from ..subscription import AcceptedTokens, AnswerCompleted
from .sample_requests import make_request

_EVENTS = 4
_GAP_S = 0.45
_POLICY = StallPolicy.from_route(0.7, 4, 1000, 5)
_OLD_FIELDS = frozenset(
    ('request', 'attempt', 'server', 'is_alive', 'candidate', 'is_shared')
)


class _Engines:
    """Engines that send an event from time to time."""

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        for number in range(len(opening.accepted), _EVENTS):
            await asyncio.sleep(_GAP_S)
            yield TokensArrived(opening.attempt, number, ('a',))
        yield EndArrived(opening.attempt, _EVENTS, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        return True


class _Counts(NullMetrics):
    """Metrics that are kept."""

    def __init__(self) -> None:
        self.by_name: Counter[str] = Counter()

    def incr(self, stat: str, count: int = 1) -> None:
        self.by_name[stat] += count


@dataclasses.dataclass(frozen=True)
class _Line:
    """Line of the log."""

    event: str
    fields: Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """Lines of the log and counters by name."""

    lines: tuple[_Line, ...]
    counts: Counter[str]

    def list_lines(self, event: str) -> list[Mapping[str, Any]]:
        return [line.fields for line in self.lines if line.event == event]


async def _run_stream(slowdown: float | None) -> _Outcome:
    tracker = ServerTracker()
    names = ('e-0', 'e-1')
    engine = BackendServer(Address('127.0.0.1', 1), 'a', 'v1', model='guide')
    tracker.replace_servers(dict.fromkeys(names, engine))
    uses = tuple(ServerUse(name, 1, 1) for name in names)
    tracker.apply_use_report(UseReport('h1', 1, uses, (), (), 60), 0)
    for name in names:
        tracker.reported(name, LoadReport(1, 'v1', 0, slowdown))
    counts = _Counts()
    controller = GenerationsController(
        'h0',
        'a',
        tracker,
        _Engines(),
        LocalDirectory(LocationTable()),
        counts,
        Random(1),
    )
    with mock.patch.object(task._log, 'event') as log:
        queue = controller.subscribe(make_request('r', 20), 0, _POLICY)
        event = await queue.get()
        while isinstance(event, AcceptedTokens):
            event = await queue.get()
        assert isinstance(event, AnswerCompleted)
    await controller.stop()
    lines = tuple(
        _Line(call.args[0], call.kwargs) for call in log.call_args_list
    )
    return _Outcome(lines, counts.by_name)


class WorkingHostTest(unittest.TestCase):
    """A host uses and logs what is known of an engine's work."""

    # The stream was moved after 364 ms to an engine that read its prompt again.
    def test_prompt_of_another_host_lets_the_stream_wait(self) -> None:
        outcome = run_in_virtual_time(_run_stream(1.0))
        self.assertEqual(len(outcome.list_lines('attempt_sent')), 1)
        self.assertEqual(outcome.counts['generations.waits.ended'], _EVENTS - 1)
        line = outcome.list_lines('looked_elsewhere')[0]
        self.assertEqual(line['prefilling'], 1)
        self.assertEqual(line['activity_age_s'], 0)
        self.assertGreater(line['leave_after_s'], _GAP_S)
        self.assertLess(line['silent_s'], _GAP_S)
        self.assertIsNone(line['progress_age_s'])

    # Engines that report no slowdown are served and logged as before.
    def test_other_engines_are_left_as_before(self) -> None:
        outcome = run_in_virtual_time(_run_stream(None))
        self.assertGreater(len(outcome.list_lines('attempt_sent')), 1)
        for line in outcome.list_lines('looked_elsewhere'):
            self.assertEqual(line.keys(), _OLD_FIELDS)
        for line in outcome.list_lines('attempt_lost'):
            self.assertNotIn('move_reason', line)
        self.assertFalse([name for name in outcome.counts if '.moves.' in name])


if __name__ == '__main__':
    unittest.main()
