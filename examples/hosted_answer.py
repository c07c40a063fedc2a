"""
Stream a long answer from the platform's stand-ins while its engine fails.

The engine is stopped after some of the events.  The last line states whether
the answer is complete; the exit status is 1 if it is not.
"""

from __future__ import annotations

import asyncio
import sys
import time

import aiohttp

from bronzesill.standins.hosted_fleet import HOSTED_KEY, HostedFleet, HostedPlan
from bronzesill.standins.worker import WorkerPlan, expected_events
from bronzesill.utils import configure_logging

_EVENTS = 200
_PACE_S = 0.01
_KILL_AFTER_EVENTS = 60
_EVENT_END = b'\n\n'
_REQUEST_BODY = b'pattern catalogue'
_HEADERS = (
    ('Host', 'shop.example'),
    ('Authorization', f'Bearer {HOSTED_KEY}'),
    ('X-Attempt-Id', 'demonstration'),
    ('X-Deadline-Ms', '10000'),
)


class _ReceivedAnswer:
    """Bytes received so far and the longest pause between them."""

    def __init__(self) -> None:
        self.body = b''
        self.longest_pause_s: float = 0
        self._last_arrival_s = time.monotonic()

    @property
    def events(self) -> int:
        """Number of complete events received."""
        return self.body.count(_EVENT_END)

    def add(self, chunk: bytes) -> None:
        """Append received bytes and update the longest pause."""
        now_s = time.monotonic()
        if self.body:
            pause_s = now_s - self._last_arrival_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_arrival_s = now_s
        self.body += chunk


def _make_plan() -> HostedPlan:
    engines = tuple(
        WorkerPlan(
            f'engine-{domain}',
            'engines',
            domain,
            is_engine=True,
            events=_EVENTS,
            pace_s=_PACE_S,
        )
        for domain in ('a', 'b', 'c')
    )
    return HostedPlan(daemons=3, workers=engines)


async def _kill_busy_engine(fleet: HostedFleet) -> str:
    for name, worker in fleet.workers_by_name.items():
        if worker.runs_by_id:
            await worker.stop()
            return name
    return ''


async def _read(
    fleet: HostedFleet, response: aiohttp.ClientResponse
) -> _ReceivedAnswer:
    answer = _ReceivedAnswer()
    stopped_engine = ''
    async for chunk in response.content.iter_any():
        answer.add(chunk)
        if not stopped_engine and answer.events > _KILL_AFTER_EVENTS:
            stopped_engine = await _kill_busy_engine(fleet)
            print(f'--- on the platform: {stopped_engine} is stopped ---')
    return answer


async def _main() -> int:
    async with (
        HostedFleet(_make_plan()) as fleet,
        aiohttp.ClientSession() as session,
    ):
        url = f'{fleet.daemons[0].settings.callers.url}/guides/summer'
        async with session.post(
            url, data=_REQUEST_BODY, headers=dict(_HEADERS)
        ) as response:
            answer = await _read(fleet, response)
    is_complete = answer.body == expected_events(_REQUEST_BODY, _EVENTS)
    outcome = 'whole answer' if is_complete else 'NOT the whole answer'
    pause_s = answer.longest_pause_s
    print(f'{outcome}: {answer.events} events, longest pause {pause_s:.3f} s')
    return int(not is_complete)


if __name__ == '__main__':
    configure_logging('error')
    sys.exit(asyncio.run(_main()))
