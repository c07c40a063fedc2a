"""Hosts that are cut off from all backend servers still serve callers."""

import asyncio
import contextlib
import itertools
import unittest
from collections import Counter

import aiohttp

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.worker import WorkerPlan, expected_events
from ..hosted import HostedDaemon
from .cut_paths import CutPath
from .hosted_caller import HostedCaller

_DOMAINS = ('a', 'b')
#: A cut host serves its callers from then on.
_LEARNING_S = 1.0
_ROUNDS = 10
_PAUSE_S = 0.15
#: First attempts served at cut hosts, per those served at the others.
_MIN_RATIO = 0.9
_PATHS = ('/orders/', '/lookups/', '/guides/')
_SERVED = 200


class CutHostsCase(unittest.IsolatedAsyncioTestCase):
    """Two of three hosts lose their links to all servers."""

    is_silent = False
    cut = 2

    async def asyncSetUp(self) -> None:
        # All hosts and servers share one loop, which debugging slows down.
        asyncio.get_running_loop().set_debug(False)
        plan = HostedPlan(
            daemons=3,
            workers=(
                *(
                    WorkerPlan(f'engine-{name}', 'engines', name, True)
                    for name in _DOMAINS
                ),
                *(
                    WorkerPlan(f'shop-{name}', 'shop', name)
                    for name in _DOMAINS
                ),
            ),
        )
        self.fleet = await HostedFleet(plan).__aenter__()
        self.caller = HostedCaller()
        self.ids = itertools.count(1)
        #: Answers by status, for each host and kind of request.
        self.statuses: dict[tuple[str, str], Counter[int]] = {}
        self.cuts = [
            CutPath(daemon, is_silent=self.is_silent)
            for daemon in self.fleet.daemons[: self.cut]
        ]
        await self.send_rounds(3)

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    def begin_cuts(self) -> None:
        servers = frozenset(
            worker.address for worker in self.fleet.workers_by_name.values()
        )
        for cut in self.cuts:
            cut.begin(servers)

    async def send(self, daemon: HostedDaemon, path: str, number: int) -> None:
        body = f'body {path} {number}'.encode()
        status = 0
        with contextlib.suppress(aiohttp.ClientError):
            answer = await self.caller.send_request(
                daemon.settings.callers,
                f'{path}{number}',
                body=body,
                X_Attempt_Id=f'{path.strip("/")}-{next(self.ids)}',
            )
            status = answer.status
            if path == '/guides/' and status == _SERVED:
                self.assertEqual(answer.body, expected_events(body, 40))
        by_status = self.statuses.setdefault(
            (daemon.settings.name, path), Counter()
        )
        by_status[status] += 1

    async def send_rounds(self, rounds: int) -> None:
        """Send requests of all kinds to all hosts."""
        self.statuses = {}
        sends: list[asyncio.Task[None]] = []
        for number in range(rounds):
            sends.extend(
                asyncio.create_task(self.send(daemon, path, number))
                for daemon in self.fleet.daemons
                for path in _PATHS
            )
            await asyncio.sleep(_PAUSE_S)
        await asyncio.gather(*sends)

    def served(self, daemons: list[HostedDaemon], path: str) -> float:
        """Return the share of requests that were served."""
        total = Counter(
            itertools.chain.from_iterable(
                self.statuses[daemon.settings.name, path].elements()
                for daemon in daemons
            )
        )
        return total[_SERVED] / total.total()

    def assert_served_alike(self) -> None:
        for path in _PATHS:
            cut = self.served(self.fleet.daemons[: self.cut], path)
            others = self.served(self.fleet.daemons[self.cut :], path)
            with self.subTest(path=path, statuses=self.statuses):
                self.assertGreaterEqual(cut, _MIN_RATIO * others)
                self.assertGreaterEqual(others, _MIN_RATIO)

    def assert_orders_ran_once(self) -> None:
        runs = Counter(
            itertools.chain.from_iterable(
                worker.runs_by_id.elements()
                for worker in self.fleet.workers_by_name.values()
            )
        )
        repeated = [
            name
            for name, count in runs.items()
            if count > 1 and name.startswith('orders')
        ]
        self.assertEqual(repeated, [])


class ResetCutTest(CutHostsCase):
    """Connections are reset and new ones refused."""

    # Guards against hosts that take their own view of the servers for that of
    # the fleet and refuse what another host could have sent on.
    async def test_cut_hosts_serve_like_the_others(self) -> None:
        self.begin_cuts()
        await self.send_rounds(3)
        await asyncio.sleep(_LEARNING_S)
        await self.send_rounds(_ROUNDS)
        self.assert_served_alike()
        self.assert_orders_ran_once()


class SilentCutTest(CutHostsCase):
    """Open connections live on in silence, and new ones hang."""

    is_silent = True

    # Guards against hosts that wait for servers behind a path that is cut.
    async def test_cut_hosts_serve_like_the_others(self) -> None:
        self.begin_cuts()
        await self.send_rounds(3)
        await asyncio.sleep(_LEARNING_S)
        await self.send_rounds(_ROUNDS)
        self.assert_served_alike()


if __name__ == '__main__':
    unittest.main()
