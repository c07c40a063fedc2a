"""
Entries of the store that another writer has written.

Pattern: an odd entry among those of the servers, of hosts or of the operator;
each host reads it, and each that starts later reads it again.
"""

import asyncio
import unittest

import orjson

from ...platform.documents import CONFIGURATION_KEY
from ...platform.rollouts import ORDER_PREFIX
from ...platform.servers import HOST_PREFIX, SERVER_PREFIX
from ...platform.store import PlatformStore
from ...quarantine import QUARANTINE_PREFIX
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...store import Mutation
from .hosted_caller import HostedCaller

#: Time within which all hosts have read an entry.
_SPREAD_S = 1.5
_DIGITS = '9' * 400
_NESTED = b'[' * 1000 + b']' * 1000

_SERVER = {
    'service': 'shop',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'sequence': 1,
    'born': 1,
}

_ODD_SERVERS = (
    orjson.dumps({**_SERVER, 'born': _DIGITS}),
    orjson.dumps({**_SERVER, 'sequence': _DIGITS}),
    orjson.dumps({**_SERVER, 'slots': 2**63 - 1}),
    orjson.dumps({**_SERVER, 'address': '127.0.0.1:99999'}),
    orjson.dumps({**_SERVER, 'address': '127.0.0.1:0'}),
    orjson.dumps({**_SERVER, 'state': ['ready']}),
    b'{"born":%b}' % _NESTED,
    b'{"born":1e400}',
    b'\xff\xfe',
    b'',
)


class OddEntriesTest(unittest.IsolatedAsyncioTestCase):
    """Hosts outlive odd entries and use the others."""

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(HostedPlan(daemons=3)).__aenter__()
        self.caller = HostedCaller()
        self.store = PlatformStore(self.fleet.store.address)

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.caller.close()
        await self.fleet.__aexit__()

    async def write(self, key: str, payload: bytes) -> None:
        known = await self.store.get(key)
        revision = known.revision if known else None
        await self.store.compare_and_swap(
            key, revision, (Mutation(key, payload),)
        )

    async def assert_served(self) -> None:
        """Each host serves, and uses the servers that it used before."""
        for daemon in self.fleet.daemons:
            self.assertTrue(daemon.is_ready)
            self.assertEqual(daemon.known_servers, 4)
            answers = [
                await self.caller.send_request(
                    daemon.settings.callers, '/lookups/1'
                )
                for _ in range(4)
            ]
            self.assertEqual({answer.status for answer in answers}, {200})

    # Guards against hosts that end, each by itself and again after its start,
    # as soon as they read one entry of a server that cannot be decoded.
    async def test_odd_servers_are_left_out(self) -> None:
        for number, payload in enumerate(_ODD_SERVERS):
            await self.write(f'{SERVER_PREFIX}odd-{number}', payload)
        await self.write(
            f'{SERVER_PREFIX}odd\r\nX-Tenant: other', orjson.dumps(_SERVER)
        )
        await asyncio.sleep(_SPREAD_S)
        await self.assert_served()
        self.fleet.add_daemon((self.fleet.daemons[0].settings.peers,))
        await asyncio.sleep(_SPREAD_S)
        await self.assert_served()

    # Guards against hosts that end because of an odd record of an operator or
    # of another host.
    async def test_odd_records_are_left_out(self) -> None:
        for payload in (
            b'{"suspect":%b,"sequence":1}' % _NESTED,
            b'{"service":%b,"target":"v2","durationS":1}' % _NESTED,
            b'{"service":"shop","target":"v2","durationS":"1e400"}',
            b'{"service":"shop","target":"v2","durationS":-1}',
            b'\xff',
        ):
            await self.write(f'{ORDER_PREFIX}shop', payload)
            await self.write(f'{QUARANTINE_PREFIX}part/x', payload)
            await self.write(f'{HOST_PREFIX}odd', payload)
            await self.write('/bronzesill/moves/odd', payload)
            await asyncio.sleep(_SPREAD_S / 2)
        await asyncio.sleep(_SPREAD_S)
        await self.assert_served()

    # Guards against hosts that take an odd configuration, or end because of
    # it, instead of keeping the last good one.
    async def test_odd_configuration_keeps_the_last_one(self) -> None:
        known = await self.store.get(CONFIGURATION_KEY)
        assert known is not None
        document = orjson.loads(known.payload)
        first = document['routes'][0]
        for change in (
            {'version': _DIGITS},
            {'version': 99, 'routes': [{**first, 'timeoutMs': _DIGITS}]},
            {'version': 99, 'routes': [{**first, 'timeoutMs': -1}]},
            {'version': 99, 'limits': {'maxBodyBytes': -1}},
        ):
            odd = orjson.dumps({**document, **change})
            await self.write(CONFIGURATION_KEY, odd)
            await asyncio.sleep(_SPREAD_S / 2)
            await self.assert_served()
        await self.write(CONFIGURATION_KEY, b'{"version":%b}' % _NESTED)
        await asyncio.sleep(_SPREAD_S)
        await self.assert_served()
