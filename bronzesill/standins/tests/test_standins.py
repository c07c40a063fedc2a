"""Tests of the stand-in behaviour that the system tests rely on."""

import asyncio
import unittest

import aiohttp

from ...platform.store import PlatformStore
from ...store import Mutation
from ...utils import Address, BronzesillError, ResultCode
from ..batch import EngineProfile
from ..engine import EngineStandIn
from ..store import StoreStandIn
from ..tokens import expected_tokens

_EPHEMERAL_ADDRESS = Address('127.0.0.1', 0)


class TokensTest(unittest.TestCase):
    """A text assembled from two different generations can be detected."""

    def test_tokens_depend_on_version_seed_and_prefix(self) -> None:
        answer = expected_tokens('v1', 1, 'prompt', 20)
        self.assertEqual(answer, expected_tokens('v1', 1, 'prompt', 20))
        for other in (
            expected_tokens('v2', 1, 'prompt', 20),
            expected_tokens('v1', 2, 'prompt', 20),
            expected_tokens('v1', 1, 'prompts', 20),
        ):
            pairs = zip(answer, other, strict=True)
            self.assertLess(sum(one == two for one, two in pairs), 3)


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """The latest cache events are delayed, and one in ten is missing."""

    async def test_cache_events(self) -> None:
        engine = EngineStandIn('guide', EngineProfile('v1'), _EPHEMERAL_ADDRESS)
        await engine.start()
        url = f'{engine.address.url}'
        async with aiohttp.ClientSession() as session:
            for number in range(15):
                body = {
                    'stream_id': f's{number}',
                    'prompt': f'p{number}',
                    'seed': 1,
                    'max_tokens': 1,
                }
                async with session.post(
                    f'{url}/v1/completions', json=body
                ) as response:
                    await response.read()
            async with session.get(f'{url}/cache_events') as response:
                events = (await response.json())['events']
        await engine.stop()
        numbers = [event['number'] for event in events]
        self.assertEqual(numbers, [1, 2, 3, 4, 5, 6, 7, 8, 9, 11])


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Compare-and-swap, leases, watches and faults."""

    async def asyncSetUp(self) -> None:
        self.standin = StoreStandIn(_EPHEMERAL_ADDRESS)
        await self.standin.start()
        self.store = PlatformStore(self.standin.address)

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.standin.stop()

    async def test_only_one_of_two_writers_wins(self) -> None:
        first = await self.store.compare_and_swap(
            '/k', None, (Mutation('/k', b'1'),)
        )
        second = await self.store.compare_and_swap(
            '/k', None, (Mutation('/k', b'2'),)
        )
        entry = await self.store.get('/k')
        assert entry is not None
        self.assertEqual((entry.payload, second), (b'1', None))
        self.assertEqual(entry.revision, first)

    async def test_expired_lease_removes_its_keys(self) -> None:
        lease = await self.store.grant_lease(1)
        mutation = Mutation('/l', b'x', lease)
        await self.store.compare_and_swap('/l', None, (mutation,))
        self.assertTrue(await self.store.renew_lease(lease))
        await asyncio.sleep(1.2)
        self.assertIsNone(await self.store.get('/l'))
        self.assertFalse(await self.store.renew_lease(lease))

    async def test_watch_shows_writes(self) -> None:
        watch = self.store.watch('/w/')
        waiting = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.2)
        await self.store.compare_and_swap(
            '/w/a', None, (Mutation('/w/a', b'new'),)
        )
        async with asyncio.timeout(3):
            entry = await waiting
        self.assertEqual((entry.key, entry.payload), ('/w/a', b'new'))

    async def test_outage_and_rate_limit_reject_calls(self) -> None:
        faults = self.standin.state.faults
        faults.down = True
        with self.assertRaises(BronzesillError) as caught:
            await self.store.get('/k')
        self.assertIs(caught.exception.code, ResultCode.STORE_UNAVAILABLE)
        faults.down = False
        faults.max_calls_per_s = 5
        rejected = 0
        for _ in range(20):
            try:
                await self.store.get('/k')
            except BronzesillError:
                rejected += 1
        self.assertGreater(rejected, 5)
