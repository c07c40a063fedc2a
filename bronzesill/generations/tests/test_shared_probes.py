"""
Probes of engines on a host with several streams, in virtual time.

Load pattern: engines that prefill prompts send the other streams events rarely,
and all of their streams on a host ask at once whether they are alive.
"""

from __future__ import annotations

import asyncio
import dataclasses
import unittest
from typing import Any, cast

from ...config import BackendServer
from ...routing import LoadReport, ServerTracker
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address
from ..activity_lookup import ActivityLookup
from ..shared_probes import ProbeSharingClient
from ..stall_detection import GapEstimate
from ..state import GenerationState

_ADDRESS = Address('127.0.0.1', 1)
_PROBE_S = 0.002


class _Engine:
    """Engine that counts the connections opened for probes."""

    def __init__(self) -> None:
        self.probes = 0

    async def is_alive(self, server: str, address: Address) -> bool:
        self.probes += 1
        await asyncio.sleep(_PROBE_S)
        return True


class _Host:
    """
    Host with a stream on the only engine.

    :param slowdown: what the engine reports, None for an older engine.
    """

    def __init__(self, slowdown: float | None = 1.0) -> None:
        tracker = ServerTracker()
        engine = BackendServer(_ADDRESS, 'a', 'v1', model='guide')
        tracker.replace_servers({'e-1': engine})
        tracker.reported('e-1', LoadReport(1, 'v1', 0, slowdown))
        self.engine = _Engine()
        self.states = [
            dataclasses.replace(
                GenerationState(9).with_attempt('e-1', 1, 0),
                gap_estimate=GapEstimate(0.1),
            )
        ]
        self.tracker = tracker
        self.activities = ActivityLookup(tracker, self._list_states)
        self.client = ProbeSharingClient(
            cast('Any', self.engine), self.activities
        )

    async def ask(self, *, is_silent: bool = False) -> bool:
        return await self.client.is_alive('e-1', _ADDRESS, is_silent=is_silent)

    def _list_states(self) -> list[GenerationState]:
        return self.states


class SharedProbesTest(unittest.TestCase):
    """A connection is opened only to find out what is not known."""

    # Each stream opened a connection to an engine that was sending events.
    def test_live_server_is_not_probed(self) -> None:
        async def run() -> int:
            host = _Host()
            await asyncio.sleep(0.15)
            assert await host.ask()
            return host.engine.probes

        self.assertEqual(run_in_virtual_time(run()), 0)

    # All streams of an engine that was silent probed it at the same time.
    def test_streams_share_a_probe(self) -> None:
        async def run() -> int:
            host = _Host()
            await asyncio.sleep(0.3)
            await asyncio.gather(*(host.ask() for _ in range(4)))
            await asyncio.sleep(0.15)
            assert await host.ask()
            return host.engine.probes

        self.assertEqual(run_in_virtual_time(run()), 1)

    # A result that is too old would hide that the engine went down.
    def test_old_result_is_not_shared(self) -> None:
        async def run() -> int:
            host = _Host()
            await asyncio.sleep(0.3)
            await host.ask()
            await asyncio.sleep(0.25)
            await host.ask()
            return host.engine.probes

        self.assertEqual(run_in_virtual_time(run()), 2)

    # The first look comes 182 ms after the last event; if that event hid the
    # loss of the engine, its streams would be moved 0.2 s later.
    def test_silent_server_is_probed_at_the_first_look(self) -> None:
        async def run() -> int:
            host = _Host()
            await asyncio.sleep(0.182)
            await host.ask(is_silent=True)
            return host.engine.probes

        self.assertEqual(run_in_virtual_time(run()), 1)

    # All streams of an engine that crashes end within a few ms. If their last
    # events passed for a sign of life, each would count as lost on a sound
    # engine, and their answers would be cut after a few crashes.
    def test_engine_of_a_lost_stream_is_probed(self) -> None:
        async def run() -> int:
            host = _Host()
            await host.client.is_left_alive('e-1', _ADDRESS)
            await host.client.is_left_alive('e-1', _ADDRESS)
            return host.engine.probes

        self.assertEqual(run_in_virtual_time(run()), 2)

    # Engines that report no slowdown are probed as often as before.
    def test_probes_of_other_engines_are_not_shared(self) -> None:
        async def run() -> int:
            host = _Host(slowdown=None)
            await asyncio.gather(host.ask(), host.ask())
            return host.engine.probes

        self.assertEqual(run_in_virtual_time(run()), 2)


class ActivityLookupTest(unittest.TestCase):
    """The prompt of the stream that asks explains no silence of its own."""

    # A lone stream that waits for its first event would count its own prompt
    # as work of the engine and wait longer for it.
    def test_own_prompt_is_left_out(self) -> None:
        async def run() -> tuple[int, int]:
            host = _Host()
            unbegun = GenerationState(9).with_attempt('e-1', 1, 0)
            host.tracker.opened('e-1')
            counts = []
            for observer in (unbegun, host.states[0]):
                activity = host.activities.find('e-1', observer)
                assert activity is not None
                counts.append(activity.prefilling)
            return counts[0], counts[1]

        self.assertEqual(run_in_virtual_time(run()), (0, 1))


if __name__ == '__main__':
    unittest.main()
