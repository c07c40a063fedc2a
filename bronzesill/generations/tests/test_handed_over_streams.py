"""
Handovers of streams on a host with two engines, in virtual time.

Load pattern: the engine of a stream prefills many prompts of others, while the
engine with the copy of the stream is idle, or has just gone down.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from random import Random
from unittest import mock

from ...config import BackendServer
from ...routing import LoadReport, ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address
from ..controller import GenerationsController
from ..locations import LocalDirectory, LocationTable
from ..messages import EndArrived, TokensArrived
from ..stream_client import StreamMessage, StreamOpening
from ..subscription import AcceptedTokens, Subscription
from .sample_requests import make_request

_TOKENS = 30
_EVENT_S = 0.1
_MODEL = 'guide'


class _Engines:
    """
    Engines that send events at a fixed interval.

    :param accepting: engines that accept connections for probes.
    """

    def __init__(self, accepting: set[str]) -> None:
        self.openings: list[tuple[str, bool]] = []
        self._accepting = accepting

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        self.openings.append((opening.server, opening.uses_copy))
        for offset in range(len(opening.accepted), _TOKENS):
            await asyncio.sleep(_EVENT_S)
            yield TokensArrived(opening.attempt, offset, (str(offset),))
        yield EndArrived(opening.attempt, _TOKENS, '')

    async def cancel(self, opening: StreamOpening) -> None:
        """Do nothing."""

    async def is_alive(self, server: str, address: Address) -> bool:
        return server in self._accepting


class _Host:
    """A host with one stream on ``s1`` and its copy on ``c1``."""

    def __init__(self, *accepting: str) -> None:
        self.metrics = mock.Mock()
        self.engines = _Engines(set(accepting))
        self.tracker = ServerTracker()
        self.tracker.replace_servers(
            {
                's1': BackendServer(Address('127.0.0.1', 1), 'a', 'v1', _MODEL),
                'c1': BackendServer(Address('127.0.0.1', 2), 'b', 'v1', _MODEL),
            }
        )
        self.tracker.reported('s1', LoadReport(0, 'v1', 0, 1.0))
        self.controller = GenerationsController(
            'h0',
            'a',
            self.tracker,
            self.engines,
            LocalDirectory(LocationTable()),
            self.metrics,
            Random(1),
        )
        self.controller.servers.keeps_copies = lambda model: True
        self.controller.placer.allowance = mock.Mock()

    @property
    def handovers(self) -> int:
        """Number of handovers counted in the metrics."""
        counted = mock.call('generations.handovers')
        return int(self.metrics.incr.call_args_list.count(counted))

    async def run(self, *, reader_leaves: bool = False) -> list[str]:
        """Return the tokens of a stream whose engine gets prompts of others."""
        request = make_request('r', 20, can_reconnect=True)
        queue = self.controller.subscribe(request, 0)
        await asyncio.sleep(2 * _EVENT_S)
        for _ in range(6):
            self.tracker.opened('s1')
        if reader_leaves:
            self.controller.unsubscribe(request, queue)
        await asyncio.sleep(1.5 * _TOKENS * _EVENT_S)
        await self.controller.stop()
        return _tokens_in(queue)


class HandedOverStreamTest(unittest.TestCase):
    """A stream goes on from its copy, or stays where it is."""

    def test_stream_is_handed_over(self) -> None:
        """No token may be lost or delivered twice."""
        host = _Host('s1', 'c1')
        tokens = run_in_virtual_time(host.run())
        self.assertEqual(host.engines.openings, [('s1', False), ('c1', True)])
        self.assertEqual(tokens, [str(offset) for offset in range(_TOKENS)])
        self.assertEqual(host.handovers, 1)

    def test_holder_that_accepts_no_connection_takes_no_stream(self) -> None:
        """A running stream was ended for a server that had gone down."""
        host = _Host('s1')
        tokens = run_in_virtual_time(host.run())
        self.assertEqual(host.engines.openings, [('s1', False)])
        self.assertEqual(len(tokens), _TOKENS)
        self.assertEqual(host.handovers, 0)

    def test_stream_without_reader_stays(self) -> None:
        """Its caller may read the same stream through another host."""
        host = _Host('s1', 'c1')
        run_in_virtual_time(host.run(reader_leaves=True))
        self.assertEqual(host.engines.openings, [('s1', False)])


def _tokens_in(queue: Subscription) -> list[str]:
    tokens: list[str] = []
    while not queue.empty():
        event = queue.get_nowait()
        if isinstance(event, AcceptedTokens):
            tokens.extend(event.tokens)
    return tokens
