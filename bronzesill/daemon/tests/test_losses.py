"""Answers stay whole when engines and daemons are lost."""

import asyncio
import unittest
from typing import Any

from ...standins import expected_tokens
from ...standins.fleet import Fleet, FleetPlan
from .caller import Received, stream

_TOKENS = 200


def _expected(count: int = _TOKENS) -> list[str]:
    return list(expected_tokens('v1', 7, 'regrind band 3', count))


def _body() -> dict[str, Any]:
    return {
        'model': 'guide',
        'prompt': 'regrind band 3',
        'seed': 7,
        'max_tokens': _TOKENS,
    }


async def _until(received: Received, count: int) -> None:
    async with asyncio.timeout(10):
        while len(received.tokens) < count:
            await asyncio.sleep(0.002)


class EngineLossTest(unittest.IsolatedAsyncioTestCase):
    """An engine dies, pauses or wakes in the middle of an answer."""

    def setUp(self) -> None:
        self.body = _body()

    def begin(self, fleet: Fleet) -> tuple[Received, asyncio.Task[Received]]:
        """Ask the first daemon, without waiting for the answer."""
        received = Received()
        answer = asyncio.create_task(
            stream(fleet.daemons[0].address, self.body, received=received)
        )
        return received, answer

    def assert_whole(self, received: Received) -> None:
        self.assertIsNone(received.error)
        self.assertEqual(received.tokens, _expected())
        self.assertEqual(received.total, _TOKENS)

    async def test_broken_connection(self) -> None:
        async with Fleet(FleetPlan(engines=3)) as fleet:
            received, answer = self.begin(fleet)
            await _until(received, 50)
            await fleet.kill_engine(fleet.busy_engine())
            self.assert_whole(await answer)

    async def test_death_during_resume(self) -> None:
        async with Fleet(FleetPlan(engines=3)) as fleet:
            received, answer = self.begin(fleet)
            for count in (30, 31):
                await _until(received, count)
                busy = fleet.busy_engine()
                await fleet.kill_engine(busy)
                fleet.engines_by_name.pop(busy)
            self.assert_whole(await answer)

    async def test_silent_engine_that_wakes_with_late_tokens(self) -> None:
        plan = FleetPlan(engines=2, preferences={'resume_latency_weight': 1.0})
        async with Fleet(plan) as fleet:
            received, answer = self.begin(fleet)
            await _until(received, 50)
            engine = fleet.engines_by_name[fleet.busy_engine()]
            now_s = asyncio.get_running_loop().time()
            engine.profile.paused_until_s = now_s + 1.5
            self.assert_whole(await answer)
            self.assertLess(received.longest_gap_s, 1.4)

    async def test_no_engine_left_is_said_in_an_error(self) -> None:
        plan = FleetPlan(engines=1, limits={'deadline_s': 1})
        async with Fleet(plan) as fleet:
            received, answer = self.begin(fleet)
            await _until(received, 50)
            await fleet.kill_engine('engine-0')
            await answer
            self.assertEqual(
                received.tokens, _expected()[: len(received.tokens)]
            )
            self.assertIsNone(received.total)
            self.assertEqual(received.code, '2002')


class DaemonLossTest(unittest.IsolatedAsyncioTestCase):
    """The entry daemon dies, or the request is repeated elsewhere."""

    def setUp(self) -> None:
        self.body = _body()

    async def lose_daemon(
        self, fleet: Fleet, request_id: str, engines_lost: int
    ) -> tuple[Received, Received]:
        """Ask, lose the daemon and engines, ask another for the rest."""
        first = Received()
        victim = fleet.daemons[0]
        answer = asyncio.create_task(
            stream(
                victim.address,
                self.body,
                request_id=request_id,
                received=first,
            )
        )
        await _until(first, 60)
        for _ in range(engines_lost):
            await fleet.kill_engine(fleet.busy_engine())
        await fleet.kill_daemon(victim)
        await answer
        rest = await stream(
            fleet.daemons[0].address,
            self.body,
            request_id=request_id,
            last_event_id=first.last_event_id,
        )
        return first, rest

    async def test_reconnect_elsewhere_gives_just_the_rest(self) -> None:
        async with Fleet(FleetPlan(daemons=3, engines=3)) as fleet:
            first, rest = await self.lose_daemon(fleet, 'guide-1', 0)
            self.assertIsNone(first.total)
            self.assertEqual(first.tokens + rest.tokens, _expected())
            self.assertEqual(rest.total, _TOKENS)
            computed = sum(
                engine.batch.tokens_computed
                for engine in fleet.engines_by_name.values()
            )
            self.assertEqual(computed, _TOKENS)

    async def test_same_request_at_two_daemons_is_one_generation(
        self,
    ) -> None:
        body = _body()
        body.pop('seed')
        async with Fleet(FleetPlan(daemons=3, engines=3)) as fleet:
            one, other = await asyncio.gather(
                *(
                    stream(daemon.address, body, request_id='guide-2')
                    for daemon in fleet.daemons[:2]
                )
            )
            self.assertEqual(len(one.tokens), _TOKENS)
            self.assertEqual(one.tokens, other.tokens)
            computed = sum(
                engine.batch.tokens_computed
                for engine in fleet.engines_by_name.values()
            )
            self.assertEqual(computed, _TOKENS)

    async def test_engine_and_daemon_die_together(self) -> None:
        async with Fleet(FleetPlan(daemons=2, engines=3)) as fleet:
            first, rest = await self.lose_daemon(fleet, 'guide-3', 1)
            self.assertEqual(first.tokens + rest.tokens, _expected())

    async def test_beginning_of_another_answer_is_refused(self) -> None:
        async with Fleet(FleetPlan()) as fleet:
            received = await stream(
                fleet.daemons[0].address,
                self.body,
                request_id='guide-4',
                last_event_id='gen-other:5:123abc',
            )
            self.assertEqual(received.tokens, [])
            self.assertEqual(received.code, '2005')

    async def test_request_id_with_another_body_is_refused(self) -> None:
        async with Fleet(FleetPlan(daemons=2)) as fleet:
            first = asyncio.create_task(
                stream(
                    fleet.daemons[0].address, self.body, request_id='guide-5'
                )
            )
            await asyncio.sleep(0.2)
            other_body = {**self.body, 'max_tokens': 10}
            for daemon in fleet.daemons:
                other = await stream(
                    daemon.address, other_body, request_id='guide-5'
                )
                self.assertEqual(other.code, '1014')
            whole = await first
            self.assertEqual(whole.tokens, _expected())
