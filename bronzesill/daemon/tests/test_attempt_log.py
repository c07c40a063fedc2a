"""
What the log tells of requests that were on a server when it ended.

Pattern: a server ends while it answers; the prompts on it may be the cause.
"""

import asyncio
import unittest
from unittest import mock

from ...generations import task
from ...platform.headers import PlatformDialect
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from ...upstream import Header
from .hosted_caller import HostedCaller


class PromptPartsTest(unittest.TestCase):
    """The parts of a prompt are told apart by who may share them."""

    def test_last_part_belongs_to_request(self) -> None:
        fields = PlatformDialect().parse_caller_fields(
            (Header(b'x-prefix-hash', b'5c1e:800, 91bd:410,e440:250'),)
        )
        self.assertEqual(fields.shared_prompt_parts, ('5c1e', '91bd'))
        self.assertEqual(fields.own_prompt_part, 'e440')

    def test_without_header(self) -> None:
        fields = PlatformDialect().parse_caller_fields(())
        self.assertEqual(fields.shared_prompt_parts, ())
        self.assertEqual(fields.own_prompt_part, '')


class LostAttemptLineTest(unittest.IsolatedAsyncioTestCase):
    """The line of a lost attempt names the prompt and what had arrived."""

    async def test_server_ends_before_first_event(self) -> None:
        plan = HostedPlan(
            daemons=1,
            workers=(
                WorkerPlan('e-1', 'engines', is_engine=True, prefill_s=0.5),
            ),
        )
        caller = HostedCaller()
        async with HostedFleet(plan) as fleet:
            with mock.patch.object(task._log, 'event') as write:
                request = asyncio.create_task(
                    caller.send_request(
                        fleet.daemons[0].settings.callers,
                        '/guides/1',
                        X_Prefix_Hash='5c1e:200,e440:9',
                    )
                )
                await asyncio.sleep(0.2)
                await fleet.workers_by_name['e-1'].stop()
                await asyncio.sleep(0.2)
                request.cancel()
        await caller.close()
        lost = [
            call.kwargs
            for call in write.call_args_list
            if call.args[0] == 'attempt_lost'
        ]
        self.assertEqual(lost[0]['cause'], 'disconnected')
        self.assertEqual(lost[0]['prompt_parts'], ('5c1e',))
        self.assertTrue(lost[0]['had_head'])
