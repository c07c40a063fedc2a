"""Answers stay complete when engines and daemons fail."""

import asyncio
import unittest
from typing import Any

from ...standins import expected_tokens
from ...standins.fleet import Fleet, FleetPlan
from .caller import ReceivedAnswer, stream

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


async def _wait_for_tokens(received: ReceivedAnswer, count: int) -> None:
    async with asyncio.timeout(10):
        while len(received.tokens) < count:
            await asyncio.sleep(0.002)


class EngineFailureTest(unittest.IsolatedAsyncioTestCase):
    """An engine crashes, stalls or resumes in the middle of an answer."""

    def setUp(self) -> None:
        self.body = _body()

    def start_stream(
        self, fleet: Fleet
    ) -> tuple[ReceivedAnswer, asyncio.Task[ReceivedAnswer]]:
        """Start a stream at the first daemon without awaiting its end."""
        received = ReceivedAnswer()
        answer = asyncio.create_task(
            stream(fleet.daemons[0].address, self.body, received=received)
        )
        return received, answer

    def assert_complete(self, received: ReceivedAnswer) -> None:
        self.assertIsNone(received.error)
        self.assertEqual(received.tokens, _expected())
        self.assertEqual(received.total, _TOKENS)

    async def test_broken_connection(self) -> None:
        async with Fleet(FleetPlan(engines=3)) as fleet:
            received, answer = self.start_stream(fleet)
            await _wait_for_tokens(received, 50)
            await fleet.kill_engine(fleet.busiest_engine())
            self.assert_complete(await answer)

    async def test_failure_during_resume(self) -> None:
        async with Fleet(FleetPlan(engines=3)) as fleet:
            received, answer = self.start_stream(fleet)
            for count in (30, 31):
                await _wait_for_tokens(received, count)
                busy = fleet.busiest_engine()
                await fleet.kill_engine(busy)
                fleet.engines_by_name.pop(busy)
            self.assert_complete(await answer)

    async def test_stalled_engine_that_sends_late_tokens(self) -> None:
        plan = FleetPlan(engines=2, preferences={'resume_latency_weight': 1.0})
        async with Fleet(plan) as fleet:
            received, answer = self.start_stream(fleet)
            await _wait_for_tokens(received, 50)
            engine = fleet.engines_by_name[fleet.busiest_engine()]
            now_s = asyncio.get_running_loop().time()
            engine.profile.paused_until_s = now_s + 1.5
            self.assert_complete(await answer)
            self.assertLess(received.longest_gap_s, 1.4)

    async def test_error_when_no_engine_is_left(self) -> None:
        plan = FleetPlan(engines=1, limits={'deadline_s': 1})
        async with Fleet(plan) as fleet:
            received, answer = self.start_stream(fleet)
            await _wait_for_tokens(received, 50)
            await fleet.kill_engine('engine-0')
            await answer
            self.assertEqual(
                received.tokens, _expected()[: len(received.tokens)]
            )
            self.assertIsNone(received.total)
            self.assertEqual(received.code, '2002')


class DaemonFailureTest(unittest.IsolatedAsyncioTestCase):
    """The entry daemon fails, or a request is sent again elsewhere."""

    def setUp(self) -> None:
        self.body = _body()

    async def resume_after_daemon_failure(
        self, fleet: Fleet, request_id: str, engines_to_kill: int
    ) -> tuple[ReceivedAnswer, ReceivedAnswer]:
        """Start a stream, kill its daemon and engines, resume elsewhere."""
        first = ReceivedAnswer()
        killed_daemon = fleet.daemons[0]
        answer = asyncio.create_task(
            stream(
                killed_daemon.address,
                self.body,
                request_id=request_id,
                received=first,
            )
        )
        await _wait_for_tokens(first, 60)
        for _ in range(engines_to_kill):
            await fleet.kill_engine(fleet.busiest_engine())
        await fleet.kill_daemon(killed_daemon)
        await answer
        rest = await stream(
            fleet.daemons[0].address,
            self.body,
            request_id=request_id,
            last_event_id=first.last_event_id,
        )
        return first, rest

    async def test_reconnect_elsewhere_returns_only_the_rest(self) -> None:
        async with Fleet(FleetPlan(daemons=3, engines=3)) as fleet:
            first, rest = await self.resume_after_daemon_failure(
                fleet, 'guide-1', 0
            )
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

    async def test_engine_and_daemon_fail_together(self) -> None:
        async with Fleet(FleetPlan(daemons=2, engines=3)) as fleet:
            first, rest = await self.resume_after_daemon_failure(
                fleet, 'guide-3', 1
            )
            self.assertEqual(first.tokens + rest.tokens, _expected())

    async def test_event_id_of_another_answer_is_rejected(self) -> None:
        async with Fleet(FleetPlan()) as fleet:
            received = await stream(
                fleet.daemons[0].address,
                self.body,
                request_id='guide-4',
                last_event_id='gen-other:5:123abc',
            )
            self.assertEqual(received.tokens, [])
            self.assertEqual(received.code, '2005')

    async def test_request_id_with_another_body_is_rejected(self) -> None:
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
