"""Test case of one host whose planned stop begins while streams run."""

import asyncio
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import expected_events
from .hosted_caller import HostedAnswer, HostedCaller

__all__ = ['StopCase']

_BODY = b'catalogue'
_WARM_UP_STREAMS = 10


class StopCase(unittest.IsolatedAsyncioTestCase):
    """A fleet of its plan, whose first worker is an engine, and a caller."""

    plan = HostedPlan()

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(self.plan).__aenter__()
        self.caller = HostedCaller()
        self.daemon = self.fleet.daemons[0]
        self.expected = expected_events(_BODY, self.plan.workers[0].events)

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    async def stream(self, **headers: str) -> HostedAnswer:
        return await self.caller.send_request(
            self.daemon.settings.callers,
            '/guides/1',
            body=_BODY,
            X_Token_Usage='10,200',
            **headers,
        )

    async def warm_up(self) -> None:
        """Let the host see how long streams take."""
        streams = [self.stream() for _ in range(_WARM_UP_STREAMS)]
        for answer in await asyncio.gather(*streams):
            self.assertEqual(answer.body, self.expected)
