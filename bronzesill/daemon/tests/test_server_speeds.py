"""
Speeds of engines in a running fleet.

Pattern: hosts start few streams each; one that has sent nothing so far must
know the engines by what the others measured.
"""

import asyncio
import unittest
from collections.abc import Mapping
from typing import Any
from unittest import mock

from ...generations import attempt_placement
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan
from .hosted_caller import HostedCaller

_STREAMS = 6
_PACE_S_BY_NAME = {'e-fast': 0.006, 'e-slow-1': 0.02, 'e-slow-2': 0.02}
#: Hosts rely on each other's reports two seconds after their start.
_SETTLING_S = 2.5


def _plan(slowdown_percent: int | None) -> HostedPlan:
    workers = tuple(
        WorkerPlan(
            name,
            'engines',
            is_engine=True,
            pace_s=pace_s,
            slowdown_percent=slowdown_percent,
        )
        for name, pace_s in _PACE_S_BY_NAME.items()
    )
    return HostedPlan(daemons=2, workers=workers)


async def _send_streams(
    slowdown_percent: int | None,
) -> list[Mapping[str, Any]]:
    """Return the choices of a host for its first streams."""
    caller = HostedCaller()
    async with HostedFleet(_plan(slowdown_percent)) as fleet:
        first, second = (daemon.settings.callers for daemon in fleet.daemons)
        await asyncio.gather(
            *(caller.send_request(first, '/guides/1') for _ in range(_STREAMS))
        )
        await asyncio.sleep(_SETTLING_S)
        with mock.patch.object(attempt_placement._log, 'event') as write:
            for _ in range(_STREAMS):
                answer = await caller.send_request(second, '/guides/1')
                assert answer.status == 200
    await caller.close()
    return [
        call.kwargs
        for call in write.call_args_list
        if call.args[0] == 'server_chosen'
    ]


class SharedSpeedTest(unittest.IsolatedAsyncioTestCase):
    """A host knows the engines before its first stream."""

    async def test_first_streams_go_to_the_fast_engine(self) -> None:
        chosen = await _send_streams(100)
        self.assertEqual(len(chosen), _STREAMS)
        self.assertGreater(chosen[0]['samples'], 2)
        self.assertGreater(chosen[0]['speed'], 1.5)
        self.assertEqual({line['server'] for line in chosen}, {'e-fast'})

    async def test_speed_does_not_count_without_slowdowns(self) -> None:
        self.assertEqual(await _send_streams(None), [])


if __name__ == '__main__':
    unittest.main()
