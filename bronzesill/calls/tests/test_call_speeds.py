"""
Calls to servers of different speeds.

Pattern: 68 hosts send 115 calls a second to three servers of six slots, of
speeds 0.6, 1.0 and 1.6; about one in seven at a time takes 2.5 times as long
for 0.6 s.  Each host knows the load of a server from its own answers only.
"""

import asyncio
import collections
import unittest
from random import Random
from unittest import mock

from ...config import BackendServer, Route
from ...routing import LoadReport, ServerTracker, TrafficSplit, UseReport
from ...standins.virtual_time import run_in_virtual_time
from ...utils import Address
from ..idempotent import IdempotentCalls
from ..interfaces import CallAnswer, CallRequest, RoutedCall
from ..servers import ServiceServers
from .two_versions import ignore_call_end

_SPEED_BY_NAME = {'slow': 0.6, 'usual': 1.0, 'fast': 1.6}
_HOSTS = 68
_SLOTS = 6
_CALLS_PER_S = 115
_WORK_S = 0.06
_END_S = 16.0
_COUNTED_FROM_S = 4.0
_REPORT_INTERVAL_S = 0.7
_MAX_RATIO = 1.15


class _Service:
    """Servers of a service, with their queues."""

    def __init__(self, *, tells_slowdown: bool) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self._tells_slowdown = tells_slowdown
        self._random = Random(3)
        self._slots = {
            name: asyncio.Semaphore(_SLOTS) for name in _SPEED_BY_NAME
        }
        self._open: collections.Counter[str] = collections.Counter()
        self._slowdowns = dict.fromkeys(_SPEED_BY_NAME, (0.0, 1.0))

    async def run(self, name: str) -> LoadReport:
        self.calls[name] += 1
        self._open[name] += 1
        try:
            await self._work(name)
        finally:
            self._open[name] -= 1
        told = self._slowdown(name) if self._tells_slowdown else None
        return LoadReport(self._open[name], '', _now_s(), told)

    async def _work(self, name: str) -> None:
        async with self._slots[name]:
            work_s = self._random.uniform(0.5, 1.5) * _WORK_S
            slowdown = self._slowdown(name)
            await asyncio.sleep(work_s * slowdown / _SPEED_BY_NAME[name])

    def _slowdown(self, name: str) -> float:
        until_s, slowdown = self._slowdowns[name]
        if _now_s() >= until_s:
            slowdown = 2.5 if self._random.random() < 1 / 7 else 1
            self._slowdowns[name] = (_now_s() + 0.6, slowdown)
        return slowdown


class _Host:
    def __init__(self, number: int, service: _Service) -> None:
        self.tracker = ServerTracker()
        self.tracker.replace_servers(
            {
                name: BackendServer(
                    Address('10.0.0.1', 80),
                    'a',
                    'v1',
                    service='shop',
                    capacity=_SLOTS,
                )
                for name in _SPEED_BY_NAME
            }
        )
        self._service = service
        servers = ServiceServers(
            self.tracker,
            lambda _: TrafficSplit(''),
            ignore_call_end,
            Random(number),
        )
        servers.host = f'host-{number}'
        self.calls = IdempotentCalls(self, servers)

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        report = await self._service.run(server)
        self.tracker.reported(server, report)
        return CallAnswer(200, '', b'')

    async def call_s(self) -> float:
        """Run a call and return its duration in seconds."""
        began_s = _now_s()
        routed = RoutedCall(
            call=CallRequest('GET', '', {}, b''),
            route_name='lookups',
            route=Route('/', 'shop', idempotent=True),
            account='huka',
            request_id='r1',
            key='',
            deadline_at_s=began_s + 10,
        )
        await self.calls.run(routed)
        return _now_s() - began_s


def _now_s() -> float:
    return asyncio.get_running_loop().time()


async def _share_paces(hosts: list[_Host]) -> None:
    sequence = 0
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        sequence += 1
        collector = _Host(0, _Service(tells_slowdown=True)).tracker
        for number, host in enumerate(hosts):
            report = host.tracker.build_use_report(
                f'h{number}', sequence, _now_s(), 2
            )
            collector.apply_use_report(report, _now_s())
        own = UseReport('collector', sequence, ())
        totals = collector.build_totals(own, '', _now_s())
        for host in hosts:
            host.tracker.apply_use_report(totals, _now_s())


async def _play(
    *, tells_slowdown: bool = True, is_exact: bool = False
) -> float:
    """Return the mean duration of a call in seconds."""
    service = _Service(tells_slowdown=tells_slowdown)
    hosts = [_Host(number, service) for number in range(_HOSTS)]
    if is_exact:
        for host in hosts:
            known = mock.Mock(side_effect=_SPEED_BY_NAME.__getitem__)
            host.tracker.speeds.relative_speed = known  # type: ignore
    sharing = asyncio.create_task(_share_paces(hosts))
    random = Random(4)
    calls = []
    while _now_s() < _END_S:
        await asyncio.sleep(random.expovariate(_CALLS_PER_S))
        call = asyncio.create_task(random.choice(hosts).call_s())
        if _now_s() >= _COUNTED_FROM_S:
            calls.append(call)
    durations_s = await asyncio.gather(*calls)
    sharing.cancel()
    return sum(durations_s) / len(durations_s)


class CallSpeedTest(unittest.TestCase):
    """Calls go to the servers that answer soonest."""

    def test_mean_time_is_near_that_with_known_speeds(self) -> None:
        learnt_s = run_in_virtual_time(_play())
        exact_s = run_in_virtual_time(_play(is_exact=True))
        before_s = run_in_virtual_time(_play(tells_slowdown=False))
        self.assertLessEqual(learnt_s, _MAX_RATIO * exact_s)
        self.assertLess(learnt_s, before_s)

    # Guards against a server that counts as fast since it refuses at once.
    def test_refusals_tell_no_pace(self) -> None:
        for status, samples in ((200, 1), (404, 0), (429, 0), (500, 0)):
            with self.subTest(status=status):
                known = run_in_virtual_time(_count_samples(status))
                self.assertEqual(known, samples)

    # Guards against a hedge for each call to a machine that is known to be
    # slow for half a second, and a late one for a fast server.
    def test_hedges_start_by_the_time_expected_of_the_server(self) -> None:
        for slowdown, hedged_s in ((None, 0.2), (1.0, 0.2), (2.5, 0.5)):
            with self.subTest(slowdown=slowdown):
                sent_s = run_in_virtual_time(_hedge(slowdown))
                self.assertAlmostEqual(sent_s[1], hedged_s)


async def _count_samples(status: int) -> int:
    """Return the paces measured by a call that is answered with a status."""
    host = _Host(0, _Service(tells_slowdown=True))
    host.tracker.reported('slow', LoadReport(0, '', _now_s(), 1.0))

    async def answer(server: str, routed: RoutedCall) -> CallAnswer:
        await asyncio.sleep(0.01)
        return CallAnswer(status, '', b'')

    with mock.patch.object(host, 'send', answer):
        await host.call_s()
    paces = host.tracker.speeds.measured_paces(_now_s())
    return sum(pace.samples for pace in paces)


async def _hedge(slowdown: float | None) -> list[float]:
    """Return when a call that gets no answer is sent to servers."""
    host = _Host(0, _Service(tells_slowdown=True))
    for name in _SPEED_BY_NAME:
        host.tracker.reported(name, LoadReport(0, '', _now_s(), slowdown))
    sent_s: list[float] = []

    async def hang(server: str, routed: RoutedCall) -> CallAnswer:
        sent_s.append(_now_s())
        await asyncio.sleep(9)
        return CallAnswer(200, '', b'')

    with mock.patch.object(host, 'send', hang):
        await host.call_s()
    return sent_s


if __name__ == '__main__':
    unittest.main()
