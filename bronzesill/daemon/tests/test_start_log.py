"""What the log tells of a host that starts."""

import asyncio
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from ...utils import PartLogger, StepLog
from .hosted_caller import HostedCaller

_STEPS_OF_ALL = {'serving', 'store_read', 'peer_known', 'configured', 'ready'}


class StartLogTest(unittest.TestCase):
    """Each step is logged once, with what the host knew then."""

    def test_step_is_logged_once(self) -> None:
        steps = StepLog(PartLogger('daemon'), 'start_step', began_s=0)
        with self.assertLogs('absl') as logs:
            steps.reach('ready', hosts=3)
            steps.reach('ready', hosts=4)
        self.assertEqual(len(logs.records), 1)
        fields = vars(logs.records[0])['event_fields']
        self.assertEqual(fields['step'], 'ready')
        self.assertEqual(fields['hosts'], 3)
        self.assertGreater(fields['after_s'], 0)


class FleetStartTest(unittest.IsolatedAsyncioTestCase):
    """Hosts that start at once log how far each of them has come."""

    # Guards against a slow return of a fleet whose logs do not tell whether
    # its hosts were not ready, unknown to each other, or not called.
    async def test_steps_of_a_start_are_logged(self) -> None:
        plan = HostedPlan(
            daemons=3, workers=(WorkerPlan('shop-a', 'shop', 'a'),)
        )
        caller = HostedCaller()
        with self.assertLogs('absl') as logs:
            async with HostedFleet(plan) as fleet:
                answer = await caller.send_request(
                    fleet.daemons[0].settings.callers, '/lookups/1'
                )
                await asyncio.sleep(2)
        await caller.close()
        self.assertEqual(answer.status, 200)
        counts: dict[str, int] = {}
        for record in logs.records:
            fields = getattr(record, 'event_fields', {})
            if fields.get('event') == 'start_step':
                counts[fields['step']] = counts.get(fields['step'], 0) + 1
        for step in _STEPS_OF_ALL:
            self.assertEqual(counts.get(step), 3, step)
        self.assertEqual(counts.get('registered'), 3)
        self.assertEqual(counts.get('answered'), 1)


if __name__ == '__main__':
    unittest.main()
