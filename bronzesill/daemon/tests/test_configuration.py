"""Configuration changes apply within seconds and are never reverted."""

import asyncio
import base64
import contextlib
import unittest
from typing import Any

from ...config.repository import ConfigRepository
from ...platform.store import PlatformStore
from ...standins.fleet import Fleet, FleetPlan
from .caller import ReceivedAnswer, send_request, stream


async def _wait_for_revision(fleet: Fleet, number: int) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with asyncio.timeout(8):
        while any(
            daemon.status().revision != number for daemon in fleet.daemons
        ):
            await asyncio.sleep(0.02)
    return loop.time() - started_s


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Changes, store outages, restored stores and daemon starts."""

    async def asyncSetUp(self) -> None:
        self.fleet = await Fleet(FleetPlan(daemons=5, engines=1)).__aenter__()
        self.store = self.fleet.store.state

    async def asyncTearDown(self) -> None:
        await self.fleet.__aexit__()

    def document(self, waiting: int) -> dict[str, Any]:
        document = self.fleet.base_document()
        document['limits']['max_waiting'] = waiting
        return document

    async def test_change_is_applied_everywhere_within_seconds(self) -> None:
        number = await self.fleet.apply(self.document(7))
        self.assertLess(await _wait_for_revision(self.fleet, number), 3)

    async def test_restored_store_does_not_revert_revision(self) -> None:
        before = dict(self.store.items_by_key)
        number = await self.fleet.apply(self.document(8))
        await _wait_for_revision(self.fleet, number)
        self.store.items_by_key = before
        new_daemon = await self.fleet.add_daemon(20)
        await self.fleet.wait_until_ready()
        await _wait_for_revision(self.fleet, number)
        self.assertEqual(new_daemon.status().revision, number)

    # Guards against a configuration that is in force and that the store has
    # lost for good, so that the next daemons would start with an older one.
    async def test_lost_configuration_is_written_again(self) -> None:
        copy = self.store.copy()
        number = await self.fleet.apply(self.document(8))
        await _wait_for_revision(self.fleet, number)
        await self.fleet.store.restore(copy)
        async with asyncio.timeout(8):
            while await self.stored_number() != number:
                await asyncio.sleep(0.05)

    async def stored_number(self) -> int:
        with contextlib.closing(
            PlatformStore(self.fleet.store.address)
        ) as store:
            current = await ConfigRepository(store).read()
        return current.config.number if current else 0

    async def test_daemon_started_with_the_store_down(self) -> None:
        number = await self.fleet.apply(self.document(9))
        await _wait_for_revision(self.fleet, number)
        self.store.faults.down = True
        await self.fleet.add_daemon(21)
        await _wait_for_revision(self.fleet, number)

    async def test_invalid_document_keeps_last_valid_one(self) -> None:
        good = self.fleet.daemons[0].status().revision
        number = await self.fleet.apply({'models': 3})
        async with asyncio.timeout(8):
            while any(
                daemon.status().rejected_revision != number
                for daemon in self.fleet.daemons
            ):
                await asyncio.sleep(0.02)
        revisions = {daemon.status().revision for daemon in self.fleet.daemons}
        self.assertEqual(revisions, {good})
        number = await self.fleet.apply(self.document(10))
        await _wait_for_revision(self.fleet, number)

    async def test_undecodable_store_entries_are_ignored(self) -> None:
        revision = self.fleet.daemons[0].status().revision
        malformed = base64.b64encode(b'{"number": ').decode()
        for key in ('/bronzesill/config/current', '/bronzesill/moves/x'):
            self.store.revision += 1
            self.store.write(key, malformed, 0)
        await asyncio.sleep(2)
        for daemon in self.fleet.daemons:
            self.assertEqual(daemon.status().revision, revision)
            self.assertFalse(daemon.status().is_stopping)
        body = {'model': 'guide', 'prompt': 'x', 'max_tokens': 5}
        answer = await stream(self.fleet.daemons[0].address, body)
        self.assertEqual(answer.total, 5)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Planned stops interrupt no request."""

    async def test_daemon_stop_interrupts_no_stream(self) -> None:
        plan = FleetPlan(daemons=3, engines=2, pace_s=0.01)
        async with Fleet(plan) as fleet:
            leaving = fleet.daemons[0]
            body = {'model': 'guide', 'prompt': 'x', 'max_tokens': 200}
            received = ReceivedAnswer()
            answer = asyncio.create_task(
                stream(leaving.address, body, received=received)
            )
            await asyncio.sleep(0.3)
            leaving.begin_stop()
            await asyncio.sleep(0.2)
            new_answer = await stream(
                leaving.address, {**body, 'max_tokens': 5}
            )
            self.assertEqual(new_answer.total, 5)
            for daemon in fleet.daemons[1:]:
                _, reply, _ = await send_request(
                    daemon.address, '/v1/addresses'
                )
                addresses = [entry['address'] for entry in reply['addresses']]
                self.assertNotIn(str(leaving.address), addresses)
            self.assertEqual((await answer).total, 200)

    async def test_leaving_engine_gets_no_new_work(self) -> None:
        async with Fleet(FleetPlan(daemons=2, engines=2)) as fleet:
            address = fleet.daemons[0].address
            path = '/admin/servers/engine-0/leaving'
            status, _, _ = await send_request(address, path, 'POST', json={})
            self.assertEqual(status, 200)
            await asyncio.sleep(1)
            engine = fleet.engines_by_name['engine-0']
            before = engine.batch.tokens_computed
            body = {'model': 'guide', 'prompt': 'x', 'max_tokens': 5}
            answers = await asyncio.gather(
                *(
                    stream(fleet.daemons[number % 2].address, body)
                    for number in range(12)
                )
            )
            self.assertTrue(all(answer.total == 5 for answer in answers))
            self.assertEqual(engine.batch.tokens_computed, before)
