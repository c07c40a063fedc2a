"""
A planned stop after an engine asked for a pause.

Load: ten streams at once, one that its engine refuses until its deadline,
ten more, then single streams during the stop.
"""

import asyncio
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan, expected_events
from .hosted_caller import HostedAnswer, HostedCaller

_BODY = b'catalogue'
_GRACE_S = 3.0
#: A stream that took so long would not end within the grace period.
_PAUSE_S = 2.0
_DEADLINE_MS = 1900
_STREAMS = 10
_EVENTS = 10
_HTTP_OK = 200


class StopAfterPauseTest(unittest.IsolatedAsyncioTestCase):
    """Streams take a tenth of a second before and after a pause."""

    async def asyncSetUp(self) -> None:
        engine = WorkerPlan(
            'engine-a', 'engines', is_engine=True, events=_EVENTS, pace_s=0.01
        )
        plan = HostedPlan(daemons=1, workers=(engine,), grace_s=_GRACE_S)
        self.fleet = await HostedFleet(plan).__aenter__()
        self.engine = self.fleet.workers_by_name['engine-a']
        self.daemon = self.fleet.daemons[0]
        self.caller = HostedCaller()

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

    async def stream_many(self) -> None:
        streams = [self.stream() for _ in range(_STREAMS)]
        for answer in await asyncio.gather(*streams):
            self.assertEqual(answer.status, _HTTP_OK)

    async def pause_engine(self) -> None:
        """Let a stream fail, as the engine wants no request until then."""
        self.engine.retry_after = str(_PAUSE_S)
        refused = await self.stream(X_Deadline_Ms=str(_DEADLINE_MS))
        self.assertNotEqual(refused.status, _HTTP_OK)
        self.engine.retry_after = ''
        await asyncio.sleep(_PAUSE_S)

    # Guards against a stopping host that refuses streams for a minute after
    # one has waited for an engine that asked for a pause.
    async def test_streams_are_served_after_the_pause(self) -> None:
        await self.stream_many()
        await self.pause_engine()
        await self.stream_many()
        self.daemon.begin_stop()
        await asyncio.sleep(0.5)
        answer = await self.stream()
        self.assertEqual(answer.status, _HTTP_OK)
        self.assertEqual(answer.body, expected_events(_BODY, _EVENTS))


if __name__ == '__main__':
    unittest.main()
