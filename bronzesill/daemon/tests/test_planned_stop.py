"""Requests that reach a host after the signal for a planned stop."""

import asyncio
import contextlib
import dataclasses
import re
import unittest
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import aiohttp

from ...generations import task
from ...platform.servers import HOST_PREFIX
from ...platform.store import PlatformStore
from ...standins.hosted_fleet import (
    HostedPlan,
    make_configuration,
)
from ...standins.worker import WorkerPlan
from .hosted_caller import HostedAnswer
from .stop_case import StopCase

#: Seconds of grace; the host exits half a second earlier.
_GRACE_S = 3.0
#: For streams that are slow by intent.
_LONG_GRACE_S = 6.0
_HTTP_OK = 200
_NOT_RUN = 503
_UNKNOWN = 502
#: A refusal at once, on a busy machine too.
_AT_ONCE_S = 1.0
_CALL_WORK_S = 1.2
_HANGING_S = 10.0
#: Longer than a host without requests stays.
_LONG_GRACE_S = 8.0
_KEPT_CALLERS = 20
_PAUSE_STEP_S = 0.005
_UNKNOWN_REQUEST = b'GET /unknown HTTP/1.1\r\nHost: unknown\r\n\r\n'
_LENGTH_PATTERN = re.compile(rb'content-length: (\d+)')


def _engines(events: int, pace_s: float) -> HostedPlan:
    engine = WorkerPlan(
        'engine-a', 'engines', is_engine=True, events=events, pace_s=pace_s
    )
    shop = WorkerPlan('shop-a', 'shop', work_s=_CALL_WORK_S)
    return HostedPlan(daemons=1, workers=(engine, shop), grace_s=_GRACE_S)


async def _hang() -> None:
    await asyncio.sleep(_HANGING_S)


class SlowStreamTest(StopCase):
    """Streams take two seconds, twice as long as their size suggests."""

    plan = _engines(events=40, pace_s=0.05)

    # Guards against streams that a stopping host takes late in the grace
    # period and breaks off at its end.
    async def test_unknown_duration_is_not_taken(self) -> None:
        self.daemon.begin_stop()
        await asyncio.sleep(1.2)
        answer = await self.stream()
        self.assertEqual(answer.status, _NOT_RUN)

    async def test_known_duration_is_not_taken_too_late(self) -> None:
        await self.warm_up()
        self.daemon.begin_stop()
        await asyncio.sleep(1.2)
        answer = await self.stream()
        self.assertEqual(answer.status, _NOT_RUN)


class FastStreamTest(StopCase):
    """Streams take a tenth of a second."""

    plan = _engines(events=10, pace_s=0.01)

    async def test_streams_that_end_in_time_are_served(self) -> None:
        await self.warm_up()
        self.daemon.begin_stop()
        await asyncio.sleep(1.2)
        answer = await self.stream()
        self.assertEqual(answer.status, _HTTP_OK)
        self.assertEqual(answer.body, self.expected)

    # Guards against a prediction from the rest of a stream that was resumed
    # after its last event: it has no first event.
    async def test_resumed_streams_tell_nothing(self) -> None:
        await self.warm_up()
        await self.stream(Last_Event_Id='10')
        self.daemon.begin_stop()
        await asyncio.sleep(0.5)
        answer = await self.stream()
        self.assertEqual(answer.status, _HTTP_OK)


class SlowedStreamTest(StopCase):
    """An engine slows down after streams that took a tenth of a second."""

    plan = dataclasses.replace(
        _engines(events=10, pace_s=0.01), grace_s=_LONG_GRACE_S
    )

    # Guards against predictions from whole streams alone: under a load that
    # grows those are the fast ones, and a stopping host cuts what it takes.
    async def test_running_streams_count(self) -> None:
        await self.warm_up()
        engine = self.fleet.workers_by_name['engine-a']
        engine.plan = dataclasses.replace(engine.plan, pace_s=0.6)
        slow = [asyncio.create_task(self.stream()) for _ in range(4)]
        await asyncio.sleep(1.5)
        self.daemon.begin_stop()
        await asyncio.sleep(0.5)
        answer = await self.stream()
        self.assertEqual(answer.status, _NOT_RUN)
        for stream in slow:
            with contextlib.suppress(aiohttp.ClientError):
                await stream


class StoppingEntryTest(StopCase):
    """The entry of a stopping host in the store."""

    plan = HostedPlan(daemons=1, grace_s=_LONG_GRACE_S)

    async def is_registered(self) -> bool:
        key = f'{HOST_PREFIX}{self.daemon.settings.name}'
        with contextlib.closing(PlatformStore(self.fleet.store.address)) as s:
            return await s.get(key) is not None

    # Guards against hosts that register again while they stop, so that others
    # join them up to their exit.
    async def test_host_does_not_register_again(self) -> None:
        async with asyncio.timeout(_LONG_GRACE_S):
            while not await self.is_registered():
                await asyncio.sleep(0.1)
        # Requests keep the host up until its grace period ends.
        waiting = asyncio.create_task(self.stream())
        self.fleet.workers_by_name['engine-a'].is_answering.clear()
        self.fleet.workers_by_name['engine-b'].is_answering.clear()
        self.daemon.begin_stop()
        await asyncio.sleep(0.5)
        for _ in range(45):
            self.assertFalse(await self.is_registered())
            await asyncio.sleep(0.1)
        waiting.cancel()


class LateCallTest(StopCase):
    """Calls that may run at most once take longer than usual calls do."""

    plan = _engines(events=10, pace_s=0.01)

    # Guards against orders that are passed on late in the grace period and
    # end without an answer.
    async def test_call_that_may_outlast_the_host_is_not_taken(self) -> None:
        self.daemon.begin_stop()
        await asyncio.sleep(1.6)
        answer = await self.caller.send_request(
            self.daemon.settings.callers, '/orders/1'
        )
        self.assertEqual(answer.status, _NOT_RUN)
        shop = self.fleet.workers_by_name['shop-a']
        self.assertEqual(shop.runs_by_id.total(), 0)

    async def test_call_with_a_near_deadline_is_served(self) -> None:
        self.daemon.begin_stop()
        answer = await self.caller.send_request(
            self.daemon.settings.callers, '/orders/1', X_Deadline_Ms='1800'
        )
        self.assertEqual(answer.status, _HTTP_OK)


class UnansweredTest(StopCase):
    """Requests that are still without an answer when the host exits."""

    plan = HostedPlan(
        daemons=1,
        workers=(
            WorkerPlan('engine-a', 'engines', is_engine=True, slots=1),
            WorkerPlan('shop-a', 'shop'),
        ),
        grace_s=_GRACE_S,
    )

    def silence(self, name: str) -> None:
        self.fleet.workers_by_name[name].is_answering.clear()

    async def stop_under(
        self, request: Coroutine[Any, Any, HostedAnswer]
    ) -> tuple[HostedAnswer, float]:
        """Stop the host under a request; return the answer and its time."""
        task = asyncio.create_task(request)
        await asyncio.sleep(0.3)
        stopped_at_s = asyncio.get_running_loop().time()
        self.daemon.begin_stop()
        answer = await task
        return answer, asyncio.get_running_loop().time() - stopped_at_s

    # Guards against connections that are closed without any answer under
    # streams that wait for a server.
    async def test_waiting_stream_is_refused_at_once(self) -> None:
        await self.fleet.workers_by_name['engine-a'].stop()
        answer, after_s = await self.stop_under(self.stream())
        self.assertEqual(answer.status, _NOT_RUN)
        self.assertLess(after_s, _AT_ONCE_S)

    # Guards against refusals that wait for a store that answers no call.
    async def test_silent_store_does_not_delay_refusals(self) -> None:
        await self.fleet.workers_by_name['engine-a'].stop()
        fleet = self.daemon._fleet
        with mock.patch.object(fleet, 'deregister', _hang):
            answer, after_s = await self.stop_under(self.stream())
        self.assertEqual(answer.status, _NOT_RUN)
        self.assertLess(after_s, _AT_ONCE_S)

    async def test_silent_stream_gets_an_answer_before_the_exit(self) -> None:
        self.silence('engine-a')
        answer, _ = await self.stop_under(self.stream())
        self.assertEqual(answer.status, _UNKNOWN)

    async def test_silent_call_gets_an_answer_before_the_exit(self) -> None:
        changed = make_configuration()
        for route in changed['routes']:
            route['timeoutMs'] = 10_000
        await self.fleet.configure({**changed, 'version': 2})
        await asyncio.sleep(0.5)
        self.silence('shop-a')
        order = self.caller.send_request(
            self.daemon.settings.callers, '/orders/1'
        )
        answer, _ = await self.stop_under(order)
        self.assertEqual(answer.status, _UNKNOWN)


class KeptConnectionTest(StopCase):
    """Callers send request after request until the host is gone."""

    plan = HostedPlan(daemons=1, grace_s=_LONG_GRACE_S)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.answered = 0
        self.unanswered = 0

    async def send_until_gone(self, pause_s: float) -> None:
        """Send requests; use a new connection when a close is announced."""
        address = self.daemon.settings.callers
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    address.ip, address.port
                )
            except OSError:
                return
            await self.send_on(reader, writer, pause_s)
            writer.close()

    async def send_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pause_s: float,
    ) -> None:
        is_kept = True
        while is_kept:
            writer.write(_UNKNOWN_REQUEST)
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (OSError, EOFError):
                self.unanswered += 1
                return
            self.answered += 1
            length = _LENGTH_PATTERN.search(head)
            await reader.readexactly(int(length.group(1)) if length else 0)
            is_kept = b'connection: close' not in head
            await asyncio.sleep(pause_s)

    # Guards against requests that are closed without an answer while a host
    # without other requests leaves.
    async def test_each_request_gets_an_answer(self) -> None:
        callers = [
            asyncio.create_task(self.send_until_gone(number * _PAUSE_STEP_S))
            for number in range(_KEPT_CALLERS)
        ]
        await asyncio.sleep(0.5)
        self.daemon.begin_stop()
        await asyncio.gather(*callers)
        self.assertGreater(self.answered, _KEPT_CALLERS)
        self.assertEqual(self.unanswered, 0)


class SilentPeerTest(StopCase):
    """A peer does not read what this host has for it."""

    plan = _engines(events=10, pace_s=0.01)

    # Guards against hosts that are killed while they wait for a peer.
    async def test_connections_with_peers_do_not_delay_the_end(self) -> None:
        self.daemon.begin_stop()
        with mock.patch.object(self.daemon._peers, 'close', _hang):
            async with asyncio.timeout(_GRACE_S + _AT_ONCE_S):
                await self.fleet.wait_until_stopped(self.daemon)


class CutStreamLogTest(StopCase):
    """A stream outlasts the grace period."""

    plan = _engines(events=400, pace_s=0.02)

    # Guards against streams that end with their host without a line that
    # tells whether a server was at work.
    async def test_log_names_the_cut_stream(self) -> None:
        with mock.patch.object(task._log, 'event') as write:
            stream = asyncio.create_task(self.stream(X_Attempt_Id='cut-1'))
            await asyncio.sleep(0.5)
            self.daemon.begin_stop()
            with self.assertRaises(aiohttp.ClientError):
                await stream
        lines = [
            call.kwargs
            for call in write.call_args_list
            if call.args == ('stream_cut',)
        ]
        self.assertEqual(len(lines), 1)
        fields = lines[0]
        self.assertEqual(fields['request'], 'cut-1')
        self.assertEqual(fields['phase'], 'streaming')
        self.assertEqual(fields['server'], 'engine-a')
        self.assertGreater(fields['at_token'], 0)


if __name__ == '__main__':
    unittest.main()
