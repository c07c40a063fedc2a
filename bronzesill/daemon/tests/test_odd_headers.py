"""Requests whose headers hold values that no caller should send."""

import asyncio
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from .hosted_caller import HostedCaller

#: Time within which a host tells the others of its use of servers.
_REPORT_S = 1.0
_DIGITS = '9' * 40


class OddHeadersTest(unittest.IsolatedAsyncioTestCase):
    """Hosts answer such requests, and serve others at the same time."""

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(HostedPlan()).__aenter__()
        self.caller = HostedCaller()

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    async def status(self, target: str, **headers: str) -> int:
        address = self.fleet.daemons[0].settings.callers
        answer = await self.caller.send_request(
            address, target, 'POST', b'catalogue', **headers
        )
        return answer.status

    # Guards against callers that end hosts: a host adds the tokens of its
    # requests and tells the others of the sum.
    async def test_tokens_without_bound(self) -> None:
        usage = f'{_DIGITS},{_DIGITS}'
        with self.assertLogs('absl') as logs:
            status = await self.status('/guides/1', X_Token_Usage=usage)
            await asyncio.sleep(_REPORT_S)
        self.assertEqual(status, 200)
        self.assertTrue(all(daemon.is_ready for daemon in self.fleet.daemons))
        self.assertNotIn('task_failed', {line.msg for line in logs.records})
        self.assertEqual(await self.status('/guides/2'), 200)

    async def test_numbers_of_any_length(self) -> None:
        long = '9' * 5000
        deadline = await self.status('/lookups/1', X_Deadline_Ms=long)
        self.assertEqual(deadline, 200)
        last_event = await self.status('/guides/1', Last_Event_Id=long)
        self.assertEqual(last_event, 400)
        usage = await self.status('/guides/2', X_Token_Usage=f'{long},1')
        self.assertEqual(usage, 200)

    async def test_many_parts_of_a_prompt(self) -> None:
        parts = ','.join(f'{number:x}:1' for number in range(1500))
        status = await self.status('/guides/1', X_Prefix_Hash=parts)
        self.assertEqual(status, 200)
