"""A long answer on the platform's stand-ins; its engine dies midway."""

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
_DIES_AFTER_EVENTS = 60
_EVENT_END = b'\n\n'
_BODY = b'pattern catalogue'
_HEADERS = (
    ('Host', 'shop.example'),
    ('Authorization', f'Bearer {HOSTED_KEY}'),
    ('X-Attempt-Id', 'demonstration'),
    ('X-Deadline-Ms', '10000'),
)


class _Answer:
    """What came so far, and the longest pause in it."""

    def __init__(self) -> None:
        self.body = b''
        self.longest_pause_s: float = 0
        self._last_s = time.monotonic()

    @property
    def events(self) -> int:
        """Whole events that came."""
        return self.body.count(_EVENT_END)

    def take(self, chunk: bytes) -> None:
        """Take in bytes."""
        now_s = time.monotonic()
        if self.body:
            pause_s = now_s - self._last_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_s = now_s
        self.body += chunk


def _plan() -> HostedPlan:
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


async def _kill_runner(fleet: HostedFleet) -> str:
    for name, worker in fleet.workers_by_name.items():
        if worker.runs_by_id:
            await worker.stop()
            return name
    return ''


async def _read(
    fleet: HostedFleet, response: aiohttp.ClientResponse
) -> _Answer:
    answer = _Answer()
    dead = ''
    async for chunk in response.content.iter_any():
        answer.take(chunk)
        if not dead and answer.events > _DIES_AFTER_EVENTS:
            dead = await _kill_runner(fleet)
            print(f'--- on the platform: {dead} dies ---')
    return answer


async def _main() -> int:
    async with (
        HostedFleet(_plan()) as fleet,
        aiohttp.ClientSession() as session,
    ):
        url = f'{fleet.daemons[0].settings.callers.url}/guides/summer'
        async with session.post(
            url, data=_BODY, headers=dict(_HEADERS)
        ) as response:
            answer = await _read(fleet, response)
    is_whole = answer.body == expected_events(_BODY, _EVENTS)
    outcome = 'whole answer' if is_whole else 'NOT the whole answer'
    pause_s = answer.longest_pause_s
    print(f'{outcome}: {answer.events} events, longest pause {pause_s:.3f} s')
    return int(not is_whole)


if __name__ == '__main__':
    configure_logging('error')
    sys.exit(asyncio.run(_main()))
