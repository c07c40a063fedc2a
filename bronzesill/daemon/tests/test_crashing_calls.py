"""
A plain call crashes each server that runs it, and its caller repeats it.

Pattern: the same call comes again under new ids at any host, beside sound calls
of the same account and route; the service has three servers, and a crash takes
all calls on a server with it.
"""

import asyncio
import time

from ...standins.hosted_fleet import HostedPlan
from ...standins.worker import WorkerPlan
from ..hosted import HostedDaemon
from .crash_case import CrashCase
from .hosted_caller import HostedAnswer

_CRASHING_BODY = b'look up slot 13'
#: Calls that may reach servers later than 3 s after the third crash.
_MAX_LATE = 3
_CRASHES = 3
_LENGTH_S = 10.0
_HTTP_OK = 200
_POPULAR = 100_000
#: Share of sound calls that are served in the last third of the time.
_MIN_SERVED = 0.95
#: Pauses between two crashing calls, and between two sound ones.
_REPEAT_S = 0.3
_SOUND_S = 0.025

_PLAN = HostedPlan(
    daemons=7,
    crash_s=1.5,
    workers=tuple(
        WorkerPlan(
            f'desk-{domain}',
            'shop',
            domain,
            crashing_body=_CRASHING_BODY,
            work_s=0.06,
        )
        for domain in 'abc'
    ),
)


class CrashingCallTest(CrashCase):
    """Hosts stop sending a call that crashes servers, and only that."""

    plan = _PLAN

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.sent: list[asyncio.Task[HostedAnswer]] = []

    def send(
        self, body: bytes, route: str = 'lookups'
    ) -> asyncio.Task[HostedAnswer]:
        daemon = self.fleet.daemons[len(self.sent) % len(self.fleet.daemons)]
        request = self.caller.send_request(
            daemon.settings.callers,
            f'/{route}/7',
            body=body,
            X_Deadline_Ms='1500',
        )
        self.sent.append(asyncio.create_task(request))
        return self.sent[-1]

    async def send_for(
        self, length_s: float, body: bytes, pause_s: float
    ) -> None:
        ends_at_s = time.monotonic() + length_s
        while time.monotonic() < ends_at_s:
            self.send(body)
            await asyncio.sleep(pause_s)

    # Guards against hosts that go on sending a call, repeated under new ids,
    # under which one server after the other has crashed.
    async def test_call_that_crashes_servers_is_sent_no_more(self) -> None:
        sound = asyncio.create_task(self.send_sound())
        await self.send_for(_LENGTH_S, _CRASHING_BODY, _REPEAT_S)
        answers = await sound
        await asyncio.gather(*self.sent, return_exceptions=True)
        self.assertGreaterEqual(len(self.fleet.crashes_s), _CRASHES)
        self.assertLessEqual(self.late_arrivals(_CRASHES), _MAX_LATE)
        settled = answers[-len(answers) // 3 :]
        served = sum(status == _HTTP_OK for status in settled)
        self.assertGreater(served, _MIN_SERVED * len(settled))

    async def send_sound(self) -> list[int]:
        """Send sound calls, one in four of them the same; return statuses."""
        calls: list[asyncio.Task[HostedAnswer]] = []
        ends_at_s = time.monotonic() + _LENGTH_S
        while time.monotonic() < ends_at_s:
            number = len(calls) if len(calls) % 4 else _POPULAR
            calls.append(self.send(b'look up slot %d' % number))
            await asyncio.sleep(_SOUND_S)
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return [
            answer.status if isinstance(answer, HostedAnswer) else 0
            for answer in answers
        ]


_ENGINES = HostedPlan(
    daemons=3,
    crash_s=1.5,
    workers=tuple(
        WorkerPlan(
            f'e-{number}',
            'engines',
            'abc'[number % 3],
            is_engine=True,
            events=5,
            crashing_body=_CRASHING_BODY,
        )
        for number in range(9)
    ),
)


class CrashingStreamTest(CrashCase):
    """A generation without shared parts is judged as a whole."""

    plan = _ENGINES

    # Guards against hosts that go on sending a generation, repeated under new
    # ids, under which one engine after the other has crashed.
    async def test_generation_that_crashes_engines_is_refused(self) -> None:
        for daemon in self.fleet.daemons:
            await self.send(daemon, _CRASHING_BODY)
        await asyncio.sleep(0.2)
        crashes = len(self.fleet.crashes_s)
        for daemon in self.fleet.daemons:
            answer = await self.send(daemon, _CRASHING_BODY)
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers['retry-after']), 60)
            sound = await self.send(daemon, b'look up slot 14')
            self.assertEqual(sound.status, _HTTP_OK)
        self.assertEqual(len(self.fleet.crashes_s), crashes)

    async def send(self, daemon: HostedDaemon, body: bytes) -> HostedAnswer:
        return await self.caller.send_request(
            daemon.settings.callers, '/guides/1', body=body
        )
