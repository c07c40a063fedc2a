"""Execution of move orders on the platform."""

import asyncio
import contextlib
import dataclasses
import unittest

import orjson
from absl import logging

from ...moves import OrderStatus
from ...platform.rollouts import ORDER_PREFIX, decode_status, status_key
from ...platform.store import PlatformStore
from ...standins.hosted_fleet import (
    HostedFleet,
    HostedPlan,
    make_configuration,
)
from ...standins.worker import WorkerPlan
from ...store import Mutation
from ...utils.logs import JsonFormatter
from ..hosted import HostedDaemon
from .hosted_caller import HostedCaller

_SERVICE = 'shop'
_WINDOW_S = 8.0
_OLD = ('old-a', 'old-b')
_NEW = ('new-a', 'new-b')
#: A bad version may get at most a tenth of all requests plus 50.
_EXPOSURE_RATIO = 0.1
_EXPOSURE_SLACK = 50
_ALWAYS_FAILS = 1_000_000
#: Time from the failure of a worker until its store entry has expired.
_LEASE_EXPIRY_S = 2.5
#: Writes that the copy of a returned store lacks.
_LOST_WRITES = 40


def _plan(failures: int) -> HostedPlan:
    old = tuple(WorkerPlan(name, _SERVICE, name[-1]) for name in _OLD)
    new = tuple(
        WorkerPlan(name, _SERVICE, name[-1], version='v2', failures=failures)
        for name in _NEW
    )
    return HostedPlan(daemons=3, workers=(*old, *new))


class _OrderCase(unittest.IsolatedAsyncioTestCase):
    failures = 0

    async def asyncSetUp(self) -> None:
        plan = _plan(self.failures)
        self.fleet = HostedFleet(plan)
        # The order is written before workers of the new version start.
        await self.fleet.store.start()
        self.copy = self.fleet.store.state.copy()
        self.prepare_store()
        await self.submit_order()
        await self.fleet.__aenter__()
        self.caller = HostedCaller()
        self.statuses: list[int] = []
        self.request_loop = asyncio.create_task(self.send_requests())

    async def asyncTearDown(self) -> None:
        self.request_loop.cancel()
        await asyncio.gather(self.request_loop, return_exceptions=True)
        await self.caller.close()
        await self.fleet.__aexit__()

    async def submit_order(self) -> None:
        key = f'{ORDER_PREFIX}{_SERVICE}'
        order = {
            'service': _SERVICE,
            'target': 'v2',
            'durationS': _WINDOW_S,
        }
        with contextlib.closing(
            PlatformStore(self.fleet.store.address)
        ) as store:
            await store.compare_and_swap(
                key, None, (Mutation(key, orjson.dumps(order)),)
            )

    def prepare_store(self) -> None:
        """Prepare the store before the order is written."""

    async def read_status(self) -> OrderStatus | None:
        with contextlib.closing(
            PlatformStore(self.fleet.store.address)
        ) as store:
            entry = await store.get(status_key(_SERVICE))
        return decode_status(entry.payload) if entry else None

    async def wait_until_final(self) -> OrderStatus:
        async with asyncio.timeout(_WINDOW_S + 2):
            status = await self.read_status()
            while status is None or not status.is_final:
                await asyncio.sleep(0.1)
                status = await self.read_status()
        return status

    async def send_requests(self) -> None:
        while True:
            daemon = self.fleet.daemons[self.caller.sent % 3]
            answer = await self.caller.send_request(
                daemon.settings.callers, '/orders/1', X_Deadline_Ms='1000'
            )
            self.statuses.append(answer.status)
            await asyncio.sleep(0.02)

    def runs(self, names: tuple[str, ...]) -> int:
        return sum(
            self.fleet.workers_by_name[name].runs_by_id.total()
            for name in names
        )


class GoodVersionTest(_OrderCase):
    """A good version gets all traffic before the order is reported done."""

    async def test_completes_within_window(self) -> None:
        verbosity = logging.get_verbosity()
        self.addCleanup(logging.set_verbosity, verbosity)
        logging.set_verbosity(logging.INFO)
        with self.assertLogs('absl', 'INFO') as logs:
            status = await self.wait_until_final()
        lines = map(JsonFormatter().format, logs.records)
        steps = [line for line in lines if '"moves"' in line]
        self.assertTrue(status.is_done, '\n'.join(steps))
        before = self.runs(_OLD)
        # The old workers are stopped as soon as the order is reported done.
        for name in _OLD:
            await self.fleet.workers_by_name[name].stop()
        answered = len(self.statuses)
        await asyncio.sleep(0.6)
        self.assertEqual(self.runs(_OLD), before)
        self.assertGreater(len(self.statuses), answered)
        self.assertEqual(set(self.statuses), {200})


class BadVersionTest(_OrderCase):
    """A bad version gets little traffic, and none once it is detected."""

    failures = _ALWAYS_FAILS

    async def test_rolled_back_and_not_used_again(self) -> None:
        status = await self.wait_until_final()
        self.assertTrue(status.is_taken_back)
        exposed = self.runs(_NEW)
        allowed = _EXPOSURE_RATIO * self.caller.sent + _EXPOSURE_SLACK
        self.assertGreater(exposed, 0)
        self.assertLessEqual(exposed, allowed)
        # It stays unused even when no server of the old version is left.
        for name in _OLD:
            await self.fleet.workers_by_name[name].stop()
        await asyncio.sleep(_LEASE_EXPIRY_S)
        self.assertEqual(self.runs(_NEW), exposed)

    async def test_rolled_back_during_store_outage(self) -> None:
        while not self.runs(_NEW):
            await asyncio.sleep(0.02)
        self.fleet.store.state.faults.down = True
        await asyncio.sleep(_WINDOW_S / 2)
        exposed = self.runs(_NEW)
        await asyncio.sleep(0.6)
        self.assertEqual(self.runs(_NEW), exposed)
        self.fleet.store.state.faults.down = False
        self.assertTrue((await self.wait_until_final()).is_taken_back)


class KilledDriverTest(_OrderCase):
    """The daemon that drives a move is killed and starts again."""

    # Guards against a driver that goes on without what the others have seen.
    async def test_restarted_driver_asks_for_all_evidence(self) -> None:
        while not self.runs(_NEW):
            await asyncio.sleep(0.02)
        driver = self.find_driver()
        with self.assertLogs('absl', 'INFO') as logs:
            await self.fleet.kill(driver)
            settings = driver.settings
            seeds = tuple(
                daemon.settings.peers
                for daemon in self.fleet.daemons
                if daemon is not driver
            )
            self.fleet.add_daemon(
                settings=dataclasses.replace(settings, seeds=seeds)
            )
            await self.wait_until_final()
        lines = map(JsonFormatter().format, logs.records)
        takeovers = [
            fields
            for fields in map(orjson.loads, lines)
            if fields.get('event') == 'move_taken_over'
            and fields['daemon'] == settings.name
        ]
        self.assertTrue(takeovers)
        self.assertEqual(takeovers[-1]['totals'], len(seeds) + 1)
        self.assertAlmostEqual(takeovers[-1]['coverage'], 2 / 3, places=1)

    def find_driver(self) -> HostedDaemon:
        """Return the daemon that drives the only move."""
        first = self.fleet.daemons[0]._moves.controller
        record = first.move_table.records()[0]
        name = first._find_drivers(record.move_id)[0].name
        return next(
            daemon
            for daemon in self.fleet.daemons
            if daemon.settings.name == name
        )


class _ReturnedStoreCase(_OrderCase):
    """The store comes back from a copy that was made before the order."""

    def prepare_store(self) -> None:
        # The revisions up to the order's are given out again.
        self.fleet.store.state.revision += _LOST_WRITES

    async def come_back_older(self) -> None:
        """Restore the store; the operator writes the order again."""
        await self.fleet.store.restore(self.copy)
        await self.fleet.configure(make_configuration())
        await self.submit_order()


class ReturnedBadVersionTest(_ReturnedStoreCase):
    """A version that was rolled back is not tried again."""

    failures = _ALWAYS_FAILS

    # Guards against an order that is carried out a second time, as it has
    # another revision after the return, and against a status that is lost.
    async def test_order_written_again_is_not_executed_again(self) -> None:
        self.assertTrue((await self.wait_until_final()).is_taken_back)
        exposed = self.runs(_NEW)
        await self.come_back_older()
        await asyncio.sleep(_WINDOW_S / 2)
        status = await self.read_status()
        self.assertIsNotNone(status)
        assert status is not None
        self.assertTrue(status.is_taken_back)
        self.assertEqual(self.runs(_NEW), exposed)


class ReturnedRunningMoveTest(_ReturnedStoreCase):
    """A move that is under way goes on."""

    # Guards against a move that stands still as the store has lost its record,
    # and ends at its deadline.
    async def test_running_move_is_completed(self) -> None:
        while not self.runs(_NEW):
            await asyncio.sleep(0.02)
        began = self.runs(_NEW)
        await self.come_back_older()
        self.assertTrue((await self.wait_until_final()).is_done)
        self.assertGreater(self.runs(_NEW), began)
