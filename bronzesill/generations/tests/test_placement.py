"""A begun answer never joins another daemon's continuation of it."""

import asyncio
import dataclasses
import unittest
from random import Random
from typing import Any, cast

from ...config import BackendServer
from ...routing import ServerBook
from ...utils import Address, NullMetrics
from ..controller import GenerationsController
from ..locations import LocationRecord
from ..messages import Attached, ChooseServer, ServerChosen
from ..peer_directory import Home, PeerDirectory
from ..request import GenerationRequest
from ..task import Placement

_REQUEST = GenerationRequest(
    'r1', 'gen-own', 'shop-1', 'guide', 'v1', 'prompt', 1, 50, 60, True
)


class _OthersWin:
    """Directory in which another daemon's record always holds."""

    async def claim(self, offered: LocationRecord) -> LocationRecord:
        return dataclasses.replace(
            offered, generation_id='gen-other', owner='entry-9', attempt=3
        )

    async def take_over(self, offered: LocationRecord) -> None:
        """Take no notice."""

    async def find(self, request_key: str) -> LocationRecord | None:
        raise AssertionError(f'nobody asks for {request_key} here')


class _State:
    attempt = 1


class _Generation:
    request = _REQUEST
    fingerprint = 7
    state = _State()


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """What follows when another daemon's record holds."""

    async def place(self, *, is_resume: bool) -> Placement:
        book = ServerBook()
        server = BackendServer(
            Address('127.0.0.1', 1), 'a', 'v1', model='guide'
        )
        book.replace_servers({'engine-1': server})
        controller = GenerationsController(
            'entry-1',
            'a',
            book,
            cast('Any', None),
            _OthersWin(),
            NullMetrics(),
            Random(1),
        )
        action = ChooseServer(frozenset(), is_resume)
        return await controller._place(cast('Any', _Generation()), action)

    async def test_begun_answer_goes_on_by_itself(self) -> None:
        placement = await self.place(is_resume=True)
        self.assertIsInstance(placement.event, ServerChosen)
        self.assertNotIn(
            placement.request.generation_id, ('gen-own', 'gen-other')
        )

    async def test_answer_not_begun_joins(self) -> None:
        placement = await self.place(is_resume=False)
        self.assertIsInstance(placement.event, Attached)
        self.assertEqual(placement.request.generation_id, 'gen-other')


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    """One home that knows the request outweighs one that does not."""

    async def test_known_record_holds(self) -> None:
        offered = LocationRecord('k', 1, 'gen-b', 'v1', 1, 's', 1, 'entry-9')
        known = dataclasses.replace(
            offered, generation_id='gen-a', owner='entry-1'
        )
        homes = (
            Home('h1', Address('127.0.0.1', 1)),
            Home('h2', Address('127.0.0.1', 2)),
        )
        directory = PeerDirectory(
            'own', cast('Any', None), lambda _: homes, cast('Any', None)
        )

        async def ask(home: Home, question: object) -> LocationRecord:
            await asyncio.sleep(0)
            return known if home.name == 'h1' else offered

        directory._ask = ask  # type: ignore[method-assign]
        self.assertEqual(await directory.claim(offered), known)


if __name__ == '__main__':
    unittest.main()
