"""
Tests of placement when another daemon already has a location record.

An answer with accepted tokens must not join the generation of another daemon,
because the tokens of the two may differ.
"""

import asyncio
import dataclasses
import unittest
from random import Random
from typing import Any, cast
from unittest import mock

from ...config import BackendServer
from ...routing import ServerTracker
from ...utils import Address, NullMetrics
from ..controller import GenerationsController
from ..forward_client import ForwardStreamClient
from ..locations import LocationRecord
from ..messages import (
    Attached,
    ChooseServer,
    LookedElsewhere,
    LookElsewhere,
    ServerChosen,
)
from ..peer_directory import HomeDaemon, PeerDirectory
from ..placement import Placement
from ..request import GenerationRequest

_REQUEST = GenerationRequest(
    'r1', 'gen-own', 'shop-1', 'guide', 'v1', 'prompt', 1, 50, 60, True
)


class _ConflictingDirectory:
    """Directory in which another daemon's record always takes precedence."""

    async def claim(self, proposed: LocationRecord) -> LocationRecord:
        return dataclasses.replace(
            proposed, generation_id='gen-other', owner='entry-9', attempt=3
        )

    async def take_over(self, proposed: LocationRecord) -> None:
        """Do nothing."""

    async def find(self, request_key: str) -> LocationRecord | None:
        raise AssertionError(f'unexpected lookup of {request_key} in this test')


class _State:
    attempt = 1


class _Generation:
    request = _REQUEST
    fingerprint = 7
    state = _State()
    unanswered_losses = 0


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """Placement when another daemon's record takes precedence."""

    async def place(self, *, is_resume: bool) -> Placement:
        tracker = ServerTracker()
        server = BackendServer(
            Address('127.0.0.1', 1), 'a', 'v1', model='guide'
        )
        tracker.replace_servers({'engine-1': server})
        controller = GenerationsController(
            'entry-1',
            'a',
            tracker,
            cast('Any', None),
            _ConflictingDirectory(),
            NullMetrics(),
            Random(1),
        )
        action = ChooseServer(frozenset(), is_resume)
        return await controller.placer.place(cast('Any', _Generation()), action)

    async def test_answer_with_tokens_gets_a_new_generation_id(self) -> None:
        placement = await self.place(is_resume=True)
        self.assertIsInstance(placement.event, ServerChosen)
        self.assertNotIn(
            placement.request.generation_id, ('gen-own', 'gen-other')
        )

    async def test_answer_without_tokens_joins_the_other_generation(
        self,
    ) -> None:
        placement = await self.place(is_resume=False)
        self.assertIsInstance(placement.event, Attached)
        self.assertEqual(placement.request.generation_id, 'gen-other')


class _HangingPool:
    """Pool whose probes take long."""

    def is_proven_alive(self, target: object) -> bool:
        return False

    async def probe(self, target: object) -> bool:
        return await asyncio.Event().wait()


class ProbeTimeTest(unittest.IsolatedAsyncioTestCase):
    """A probe that takes long holds no stream."""

    # A probe of a dead server, which also tried the paths through peers, took
    # half a second, and the stream was resumed late.
    async def test_long_probe_counts_as_refused(self) -> None:
        client = ForwardStreamClient(
            cast('Any', _HangingPool()), *cast('Any', (None, None))
        )
        async with asyncio.timeout(0.3):
            is_alive = await client.is_alive('s1', Address('127.0.0.1', 1))
        self.assertFalse(is_alive)


class _OneDeadServer:
    """Client that reaches all servers but one."""

    async def is_alive(self, server: str, address: Address) -> bool:
        return server != 'engine-1'


class SharedSilenceTest(unittest.IsolatedAsyncioTestCase):
    """A silence is not shared where another server accepts connections."""

    # Streams of a dead domain waited 1.6 s for it, because the few others of
    # the host paused at the same moment.
    async def test_server_that_accepts_clears_the_path(self) -> None:
        tracker = ServerTracker()
        address = Address('127.0.0.1', 1)
        tracker.replace_servers(
            {
                f'engine-{number}': BackendServer(
                    address, domain, 'v1', model='guide'
                )
                for number, domain in enumerate('ab', start=1)
            }
        )
        controller = GenerationsController(
            'entry-1',
            'a',
            tracker,
            cast('Any', _OneDeadServer()),
            _ConflictingDirectory(),
            NullMetrics(),
            Random(1),
        )
        placer = controller.placer
        silent = mock.Mock(return_value=True)
        placer._is_silence_shared = silent  # type: ignore[method-assign]
        choice = ChooseServer(frozenset(('engine-1',)), is_resume=True)
        looked = await placer.look(
            cast('Any', _Generation()), LookElsewhere(1, 'engine-1', choice)
        )
        self.assertEqual(looked, LookedElsewhere(1, 'engine-2', is_alive=False))


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    """An earlier record on one home daemon outweighs the proposed one."""

    async def test_existing_record_takes_precedence(self) -> None:
        proposed = LocationRecord('k', 1, 'gen-b', 'v1', 1, 's', 1, 'entry-9')
        existing = dataclasses.replace(
            proposed, generation_id='gen-a', owner='entry-1'
        )
        homes = (
            HomeDaemon('h1', Address('127.0.0.1', 1)),
            HomeDaemon('h2', Address('127.0.0.1', 2)),
        )
        directory = PeerDirectory(
            'own', cast('Any', None), lambda _: homes, cast('Any', None)
        )

        async def query_home(home: HomeDaemon, query: object) -> LocationRecord:
            await asyncio.sleep(0)
            return existing if home.name == 'h1' else proposed

        directory._query_home = query_home  # type: ignore[method-assign]
        self.assertEqual(await directory.claim(proposed), existing)


if __name__ == '__main__':
    unittest.main()
