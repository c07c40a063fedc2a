"""
The store comes back from an older copy while daemons follow it.

Pattern: changes of the configuration before and after the copy; the store
gives out revisions again; operators and servers write again what they wrote.
"""

import asyncio
import unittest
from typing import Any

from ...standins.hosted_fleet import HostedFleet, HostedPlan, make_configuration
from .hosted_caller import HostedCaller

#: Time within which an accepted configuration is in force.
_APPLY_S = 2.0
#: Writes that the copy lacks; more than follow in the test.
_LOST_CHANGES = 60


def _configuration(version: int, *prefixes: str) -> dict[str, Any]:
    document = make_configuration()
    added = [
        {**document['routes'][-1], 'name': prefix, 'prefix': f'/{prefix}/'}
        for prefix in prefixes
    ]
    return {
        **document,
        'version': version,
        'routes': [*document['routes'], *added],
    }


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Daemons keep up with a store that comes back from an older copy."""

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(HostedPlan(daemons=7)).__aenter__()
        self.caller = HostedCaller()

    async def asyncTearDown(self) -> None:
        await self.caller.close()
        await self.fleet.__aexit__()

    async def statuses(self, prefix: str) -> set[int]:
        """Return the statuses with which the daemons answer on a route."""
        answers = await asyncio.gather(
            *(
                self.caller.send_request(
                    daemon.settings.callers, f'/{prefix}/1'
                )
                for daemon in self.fleet.daemons
            )
        )
        return {answer.status for answer in answers}

    # Guards against hosts that drop what is written after the return, because
    # they read higher revisions before it.
    async def test_configuration_accepted_after_the_return(self) -> None:
        copy = self.fleet.store.state.copy()
        for version in range(2, 2 + _LOST_CHANGES):
            latest = _configuration(version, 'added', 'more')
            await self.fleet.configure(latest)
        await asyncio.sleep(_APPLY_S)
        self.assertEqual(await self.statuses('more'), {200})
        await self.fleet.store.restore(copy)
        await self.fleet.configure(latest)
        await asyncio.sleep(_APPLY_S)
        await self.fleet.configure(_configuration(90, 'added', 'newest'))
        await asyncio.sleep(_APPLY_S)
        self.assertEqual(await self.statuses('newest'), {200})
        self.assertEqual(await self.statuses('more'), {404})

    # Guards against hosts that go back to an older configuration, and hosts
    # that start with it, until the operator has written again.
    async def test_configuration_in_force_is_kept(self) -> None:
        copy = self.fleet.store.state.copy()
        await self.fleet.configure(_configuration(3, 'added'))
        await asyncio.sleep(_APPLY_S)
        await self.fleet.store.restore(copy)
        started = self.fleet.add_daemon((self.fleet.daemons[0].settings.peers,))
        for _ in range(4):
            await asyncio.sleep(_APPLY_S / 4)
            self.fleet.daemons.remove(started)
            self.assertEqual(await self.statuses('added'), {200})
            self.fleet.daemons.append(started)
        self.assertEqual(await self.statuses('added'), {200})

    # Guards against requests to a server that has said that it leaves, which
    # the older copy shows as ready.
    async def test_leaving_server_stays_so(self) -> None:
        copy = self.fleet.store.state.copy()
        leaving = self.fleet.workers_by_name['shop-a']
        leaving.is_leaving = True
        await asyncio.sleep(_APPLY_S)
        leaving.is_silent = True
        await self.fleet.store.restore(copy)
        arrived = len(leaving.arrivals_s)
        for _ in range(4):
            await asyncio.sleep(_APPLY_S / 4)
            self.assertEqual(await self.statuses('lookups'), {200})
        self.assertEqual(len(leaving.arrivals_s), arrived)
