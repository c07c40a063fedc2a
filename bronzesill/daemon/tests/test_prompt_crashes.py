"""
Requests with one part in their prompts crash each server that answers them.

Pattern: such requests come at any host, no two alike, beside sound ones of
the same account and with the same other parts; servers are back after a while.
"""

import asyncio
import dataclasses
import time

from ...standins.hosted_fleet import HostedPlan
from ...standins.worker import WorkerPlan
from .crash_case import CrashCase
from .hosted_caller import HostedAnswer

_CRASHING_PART = 'bad5'
#: Time within which the store has again what it has lost.
_CONTACT_S = 3.0
#: Requests that may reach servers later than 3 s after the fifth crash.
_MAX_LATE = 3
_CRASHES = 5
_INTERVAL_S = 0.15
_LENGTH_S = 8.0

_PLAN = HostedPlan(
    daemons=3,
    workers=tuple(
        WorkerPlan(
            f'e-{number}',
            'engines',
            'abc'[number % 3],
            is_engine=True,
            events=10,
            prefill_s=0.1,
            crashing_part=_CRASHING_PART,
        )
        for number in range(9)
    ),
)


class CrashingPromptTest(CrashCase):
    """Hosts stop sending what crashes servers, and only that."""

    plan = _PLAN

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.number = 0

    def send(self, *middle_parts: str) -> asyncio.Task[HostedAnswer]:
        self.number += 1
        parts = ['f00d', *middle_parts, f'{self.number:x}aa']
        daemon = self.fleet.daemons[self.number % len(self.fleet.daemons)]
        return asyncio.create_task(
            self.caller.send_request(
                daemon.settings.callers,
                f'/guides/{self.number}',
                X_Prefix_Hash=','.join(f'{part}:100' for part in parts),
            )
        )

    # Guards against hosts that go on sending, as new requests or as retries,
    # prompts under which one server after the other has crashed.
    async def test_prompts_that_crash_servers_are_sent_no_more(self) -> None:
        ends_at_s = time.monotonic() + _LENGTH_S
        crashing = []
        sound = []
        while time.monotonic() < ends_at_s:
            crashing.append(self.send(_CRASHING_PART))
            sound.append(self.send())
            await asyncio.sleep(_INTERVAL_S)
        answers = await asyncio.gather(*sound[-10:], return_exceptions=True)
        await asyncio.gather(*crashing, *sound, return_exceptions=True)
        self.assertLessEqual(self.late_arrivals(_CRASHES), _MAX_LATE)
        served = [
            answer
            for answer in answers
            if isinstance(answer, HostedAnswer) and answer.status == 200
        ]
        self.assertGreaterEqual(len(served), 8)

    # Guards against hosts that forget, when all of them lose power, what
    # crashed servers.
    async def test_hosts_that_all_lost_power_still_know(self) -> None:
        await self.crash_servers()
        await asyncio.sleep(1)
        await self.assert_blocked_after_loss_of_power()

    # Guards against a block that only the hosts know, as the store came back
    # from a copy without it, and that is lost with them.
    async def test_block_is_kept_when_the_store_lost_it(self) -> None:
        copy = self.fleet.store.state.copy()
        await self.crash_servers()
        await asyncio.sleep(1)
        await self.fleet.store.restore(copy)
        await asyncio.sleep(_CONTACT_S)
        await self.assert_blocked_after_loss_of_power()

    async def crash_servers(self) -> None:
        crashing = [self.send(_CRASHING_PART) for _ in range(4)]
        await asyncio.gather(*crashing, return_exceptions=True)

    async def assert_blocked_after_loss_of_power(self) -> None:
        settings = [daemon.settings for daemon in self.fleet.daemons]
        for daemon in tuple(self.fleet.daemons):
            await self.fleet.kill(daemon)
        crashes = len(self.fleet.crashes_s)
        self.fleet.daemons.clear()
        for restarted in settings:
            self.fleet.add_daemon(settings=restarted)
        await self.fleet.wait_until_ready(len(_PLAN.workers))
        answers = await asyncio.gather(
            *(self.send(_CRASHING_PART) for _ in range(4))
        )
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertGreater(float(answers[0].headers['retry-after']), 60)
        self.assertEqual(len(self.fleet.crashes_s), crashes)
        self.assertEqual((await self.send()).status, 200)


class QuickCrashTest(CrashingPromptTest):
    """
    Servers crash a few milliseconds after they get such a prompt.

    The attempts of one request then follow each other within a moment.
    """

    plan = dataclasses.replace(
        _PLAN,
        workers=tuple(
            dataclasses.replace(worker, prefill_s=0.02)
            for worker in _PLAN.workers
        ),
    )
