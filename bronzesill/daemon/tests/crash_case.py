"""Base of tests in which requests crash the servers that run them."""

from __future__ import annotations

import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from .hosted_caller import HostedCaller

__all__ = ['CrashCase']

#: Time after a crash within which all daemons know of it.
_CONTACT_S = 3.0


class CrashCase(unittest.IsolatedAsyncioTestCase):
    """Fleet of stand-ins whose servers crash, and a caller."""

    plan: HostedPlan

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(self.plan).__aenter__()
        self.caller = HostedCaller()

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    def late_arrivals(self, crashes: int) -> int:
        """
        Return how many crashing requests arrived too late after a crash.

        :param crashes: number of the crash to count from; the last one if the
            requests were refused before so many servers had crashed.
        """
        last = min(crashes, len(self.fleet.crashes_s)) - 1
        counted_from_s = self.fleet.crashes_s[last] + _CONTACT_S
        return sum(
            arrival_s > counted_from_s
            for worker in self.fleet.workers_by_name.values()
            for arrival_s in worker.crashing_arrivals_s
        )
