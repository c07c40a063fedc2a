"""
All hosts of a fleet are killed at once and start again.

Service has to be back within a third of the bound of 12 s: hosts are ready, and
a look-up at any of them finds all others.
"""

import asyncio
import dataclasses
import json
import socket
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...standins.store_state import StoreFaults
from ...standins.worker import WorkerPlan
from ...utils import Address
from ..hosted import HostedDaemon
from .hosted_caller import HostedCaller

_HOSTS = 12
_RETURN_S = 4.0
_STORE_GONE_S = 1.5
#: Calls per second that the store accepts, for each host.
_CALLS_PER_S = 5
_POLL_S = 0.05
_OK = 200


class FleetReturnTest(unittest.IsolatedAsyncioTestCase):
    """A return beside a store that is limited, slow or gone."""

    async def asyncSetUp(self) -> None:
        plan = HostedPlan(
            daemons=_HOSTS,
            workers=(
                WorkerPlan('shop-a', 'shop', 'a'),
                WorkerPlan('shop-b', 'shop', 'b'),
            ),
        )
        self.fleet = await HostedFleet(plan).__aenter__()
        self.caller = HostedCaller()
        # Accepts connections and never answers.
        self.silent = socket.create_server(('127.0.0.1', 0))

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()
        self.silent.close()

    async def kill_all(self) -> list[HostedDaemon]:
        killed = list(self.fleet.daemons)
        for daemon in killed:
            await self.fleet.kill(daemon)
        self.fleet.daemons.clear()
        return killed

    def start_all(self, killed: list[HostedDaemon]) -> None:
        """Start the hosts again with seeds of which none answers."""
        silent = Address(*self.silent.getsockname())
        closed = Address('127.0.0.1', 1)
        for daemon in killed:
            self.fleet.add_daemon(
                settings=dataclasses.replace(
                    daemon.settings, seeds=(silent, closed)
                )
            )

    async def count_listed(self, daemon: HostedDaemon) -> int:
        """Return how many hosts a look-up at a host names."""
        directory = daemon.settings.directory
        try:
            reader, writer = await asyncio.open_connection(
                directory.ip, directory.port
            )
        except OSError:
            return 0
        writer.write(
            b'GET /v1/lookup?zone=a HTTP/1.1\r\nhost: x\r\n'
            b'connection: close\r\n\r\n'
        )
        answer = await reader.read()
        writer.close()
        body = answer.partition(b'\r\n\r\n')[2]
        return len(json.loads(body)['addresses']) if body else 0

    async def is_back(self) -> bool:
        daemons = self.fleet.daemons
        if not all(daemon.is_ready for daemon in daemons):
            return False
        counts = [await self.count_listed(daemon) for daemon in daemons]
        return min(counts) == _HOSTS

    async def wait_until_back(self, limit_s: float) -> None:
        async with asyncio.timeout(limit_s):
            while not await self.is_back():
                await asyncio.sleep(_POLL_S)
        for daemon in self.fleet.daemons:
            answer = await self.caller.send_request(
                daemon.settings.callers, '/lookups/1'
            )
            self.assertEqual(answer.status, _OK)

    # Guards against a herd of starting hosts that a store refuses so often
    # that none of them learns the configuration or finds the others.
    async def test_limited_store(self) -> None:
        killed = await self.kill_all()
        self.fleet.store.state.faults = StoreFaults(
            max_calls_per_s=_CALLS_PER_S * _HOSTS
        )
        self.start_all(killed)
        await self.wait_until_back(_RETURN_S)

    # Guards against hosts that come back slowly because each call to a slow
    # store waits for the one before it.
    async def test_slow_store(self) -> None:
        killed = await self.kill_all()
        self.fleet.store.state.faults = StoreFaults(delay_s=0.24)
        self.start_all(killed)
        await self.wait_until_back(_RETURN_S)

    # Guards against hosts that wait long for their next try once a store
    # that was gone as they started is back.
    async def test_store_that_returns_later(self) -> None:
        killed = await self.kill_all()
        self.fleet.store.state.faults = StoreFaults(down=True)
        self.start_all(killed)
        await asyncio.sleep(_STORE_GONE_S)
        self.fleet.store.state.faults = StoreFaults()
        await self.wait_until_back(_RETURN_S)


if __name__ == '__main__':
    unittest.main()
