"""Traffic moves on a small fleet: start, rollback and completion."""

import asyncio
import time
import unittest
from typing import Any

from ...standins.fleet import Fleet, FleetPlan
from .caller import send_request, stream


def _move(move_id: str = 'm1', deadline_s: float = 60) -> dict[str, Any]:
    return {
        'move_id': move_id,
        'subject': 'guide',
        'old_version': 'v1',
        'new_version': 'v2',
        'deadline_in_s': deadline_s,
        'reason': 'newer weights',
    }


class MoveTest(unittest.IsolatedAsyncioTestCase):
    """Operator actions, move drivers and store outages."""

    async def asyncSetUp(self) -> None:
        plan = FleetPlan(
            daemons=3, engines=2, new_engines=2, pace_s=0.002, capacity=32
        )
        self.fleet = await Fleet(plan).__aenter__()
        self.store = self.fleet.store.state

    async def asyncTearDown(self) -> None:
        await self.fleet.__aexit__()

    async def create(self, **options: Any) -> Any:
        address = self.fleet.daemons[0].address
        return await send_request(
            address, '/admin/moves', 'POST', json=_move(**options)
        )

    async def perform_action(
        self, daemon: int, action: str, move: str = 'm1'
    ) -> Any:
        address = self.fleet.daemons[daemon].address
        path = f'/admin/moves/{move}/{action}'
        return await send_request(
            address, path, 'POST', json={'reason': 'test'}
        )

    async def state(self, daemon: int = 0) -> str:
        address = self.fleet.daemons[daemon].address
        _, reply, _ = await send_request(address, '/admin/moves')
        state: str = reply['moves'][0]['state']
        return state

    async def wait_for_share(self, share: float, timeout_s: float = 8) -> float:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.timeout(timeout_s):
            while {self.share(number) for number in range(3)} != {share}:
                await asyncio.sleep(0.02)
        return loop.time() - started_s

    def share(self, daemon: int) -> float:
        moves = self.fleet.daemons[daemon].moves
        split = moves.move_table.split('guide', 'v1', time.time())
        return 1.0 if split.old_version == 'v2' else split.share

    async def send(self, count: int) -> list[Any]:
        body = {'model': 'guide', 'prompt': 'a b', 'max_tokens': 3}
        return await asyncio.gather(
            *(
                stream(self.fleet.daemons[number % 3].address, body)
                for number in range(count)
            )
        )

    async def test_starts_everywhere_and_operator_finishes_it(
        self,
    ) -> None:
        status, _, _ = await self.create()
        self.assertEqual(status, 200)
        await self.wait_for_share(0.02)
        status, _, _ = await self.perform_action(1, 'finish')
        self.assertEqual(status, 200)
        await self.wait_for_share(1)
        answers = await self.send(6)
        self.assertTrue(all(answer.total == 3 for answer in answers))
        computed = sum(
            self.fleet.engines_by_name[name].batch.tokens_computed
            for name in ('new-0', 'new-1')
        )
        self.assertEqual(computed, 18)

    async def test_bad_version_is_rolled_back_during_store_outage(self) -> None:
        await self.create()
        await self.wait_for_share(0.02)
        for name in ('new-0', 'new-1'):
            self.fleet.engines_by_name[name].profile.refuses = True
        self.store.faults.down = True
        sent = 0
        while sent < 6000 and any(self.share(number) for number in range(3)):
            answers = await self.send(60)
            self.assertTrue(all(answer.error is None for answer in answers))
            sent += len(answers)
        self.assertLess(sent, 6000)
        self.store.faults.down = False
        async with asyncio.timeout(10):
            while await self.state() != 'taken_back':
                await asyncio.sleep(0.1)

    async def test_operator_rolls_back_within_seconds(self) -> None:
        await self.create()
        await self.wait_for_share(0.02)
        self.store.faults.down = True
        status, reply, _ = await self.perform_action(2, 'take-back')
        self.assertEqual((status, reply['state']), (200, 'taken_back'))
        self.assertLess(await self.wait_for_share(0), 3)

    async def test_concurrent_operator_actions_reach_one_end(self) -> None:
        await self.create()
        await self.wait_for_share(0.02)
        answers = await asyncio.gather(
            self.perform_action(0, 'finish'),
            self.perform_action(1, 'take-back'),
        )
        statuses = sorted(answer[0] for answer in answers)
        self.assertEqual(statuses[0], 200)
        end = await self.state(0)
        self.assertEqual(await self.state(2), end)
        await self.wait_for_share(1 if end == 'done' else 0)

    async def test_old_version_serves_all_after_deadline(self) -> None:
        status, _, _ = await self.create(deadline_s=30)
        self.assertEqual(status, 200)
        await self.wait_for_share(0.02)
        known = self.fleet.daemons[1].moves.move_table
        split = known.split('guide', 'v1', time.time() + 31)
        self.assertEqual((split.old_version, split.share), ('v1', 0))

    async def test_second_move_of_a_subject_is_rejected(self) -> None:
        await self.create()
        status, reply, _ = await self.create(move_id='m2')
        self.assertEqual(status, 409)
        self.assertEqual(reply['error']['code'], '5001')
        _, reply, _ = await self.perform_action(0, 'pause', 'unknown')
        self.assertEqual(reply['error']['code'], '5003')

    async def test_wrong_version_is_rejected(self) -> None:
        address = self.fleet.daemons[0].address
        body = {**_move(), 'old_version': 'v9'}
        _, reply, _ = await send_request(
            address, '/admin/moves', 'POST', json=body
        )
        self.assertEqual(reply['error']['code'], '1007')
