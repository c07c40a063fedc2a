"""
A planned stop after an engine asked for a pause.

Load: ten streams at once, one that its engine refuses until its deadline,
ten more, then single streams during the stop.
"""

import asyncio
import unittest

from ...standins.hosted_fleet import HostedPlan
from ...standins.worker import WorkerPlan
from .stop_case import StopCase

_GRACE_S = 3.0
#: A stream that took so long would not end within the grace period.
_PAUSE_S = 2.0
_DEADLINE_MS = 1900
_HTTP_OK = 200


class StopAfterPauseTest(StopCase):
    """Streams take a tenth of a second before and after a pause."""

    plan = HostedPlan(
        daemons=1,
        workers=(
            WorkerPlan(
                'engine-a', 'engines', is_engine=True, events=10, pace_s=0.01
            ),
        ),
        grace_s=_GRACE_S,
    )

    async def pause_engine(self) -> None:
        """Let a stream fail, as the engine wants no request until then."""
        engine = self.fleet.workers_by_name['engine-a']
        engine.retry_after = str(_PAUSE_S)
        refused = await self.stream(X_Deadline_Ms=str(_DEADLINE_MS))
        self.assertNotEqual(refused.status, _HTTP_OK)
        engine.retry_after = ''
        await asyncio.sleep(_PAUSE_S)

    # Guards against a stopping host that refuses streams for a minute after
    # one has waited for an engine that asked for a pause.
    async def test_streams_are_served_after_the_pause(self) -> None:
        await self.warm_up()
        await self.pause_engine()
        await self.warm_up()
        self.daemon.begin_stop()
        await asyncio.sleep(0.5)
        answer = await self.stream()
        self.assertEqual(answer.status, _HTTP_OK)
        self.assertEqual(answer.body, self.expected)


if __name__ == '__main__':
    unittest.main()
