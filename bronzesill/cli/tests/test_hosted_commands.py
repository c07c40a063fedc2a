"""Tests of the operators' tool with a fleet on platform stand-ins."""

import asyncio
import contextlib
import io
import json
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson
import yaml

from ...platform.rollouts import ORDER_PREFIX
from ...platform.servers import HOST_PREFIX
from ...platform.settings import METRICS_PORT
from ...platform.store import ALL_KEYS, PlatformStore
from ...quarantine import SuspectRecord
from ...standins.hosted_fleet import HostedFleet, HostedPlan
from ...store import Mutation, StoredEntry, StoreRevision
from ...utils import Address, ResultCode
from ..hosted_commands import metrics_addresses
from ..main import make_parser, run_command

_REGISTRATION_WAIT_S = 2.0


class HostedToolTest(unittest.IsolatedAsyncioTestCase):
    """Commands that read their data from the platform's store."""

    async def asyncSetUp(self) -> None:
        self.fleet = await HostedFleet(HostedPlan(daemons=1)).__aenter__()
        self.folder = TemporaryDirectory()
        self.settings = Path(self.folder.name) / 'tool.yaml'
        tool = {
            'store': str(self.fleet.store.address),
            'metrics': [
                str(daemon.settings.metrics) for daemon in self.fleet.daemons
            ],
        }
        self.settings.write_text(yaml.safe_dump(tool))

    async def asyncTearDown(self) -> None:
        self.folder.cleanup()
        await self.fleet.__aexit__()

    async def run_tool(self, *arguments: str) -> tuple[ResultCode, Any]:
        settings = ('--settings', str(self.settings), '--output', 'json')
        options = make_parser().parse_args([*settings, *arguments])
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await run_command(options)
        text = output.getvalue()
        return code, json.loads(text) if text else None

    async def test_status_lists_hosts_and_servers(self) -> None:
        # A daemon registers itself in the store only after it has determined
        # whether it is a watcher.
        await asyncio.sleep(_REGISTRATION_WAIT_S)
        code, rows = await self.run_tool('status', '--reports')
        self.assertEqual(code, ResultCode.DONE)
        names = {(row['kind'], row['name']) for row in rows}
        self.assertIn(('host', 'host-0'), names)
        self.assertIn(('server', 'engine-a'), names)
        self.assertIn(('configuration', 'op/config'), names)
        store = next(row for row in rows if row['kind'] == 'store')
        self.assertEqual((store['name'], store['state']), ('era', '1'))
        engine = next(row for row in rows if row['name'] == 'engine-a')
        self.assertIn(
            '0 running, 0 waiting, 0 of 88000 tokens', engine['detail']
        )

    async def test_status_shows_services(self) -> None:
        _, rows = await self.run_tool('status')
        services = {
            row['name']: row for row in rows if row['kind'] == 'service'
        }
        self.assertEqual(set(services) - {'unlisted'}, {'engines', 'shop'})
        self.assertRegex(
            services['shop']['detail'],
            r'\d+ slots, 0 running, 0 waiting, 0 paused, 0 suspected, '
            r'0 leaving, new connections: .* \(as 1 hosts see it\)',
        )

    async def test_pages_of_listed_hosts_are_read_by_default(self) -> None:
        await asyncio.sleep(_REGISTRATION_WAIT_S)
        with contextlib.closing(
            PlatformStore(self.fleet.store.address)
        ) as store:
            snapshot = await store.snapshot(ALL_KEYS, may_be_stale=True)
        odd = StoredEntry(f'{HOST_PREFIX}odd', b'{', StoreRevision())
        self.assertEqual(
            metrics_addresses((*snapshot.entries, odd)),
            [Address('127.0.0.1', METRICS_PORT)],
        )

    async def test_roll_out_is_listed_and_shown(self) -> None:
        key = f'{ORDER_PREFIX}shop'
        order = {'service': 'shop', 'target': 'v2', 'durationS': 30}
        with contextlib.closing(
            PlatformStore(self.fleet.store.address)
        ) as store:
            await store.compare_and_swap(
                key, None, (Mutation(key, orjson.dumps(order)),)
            )
        code, rows = await self.run_tool('roll-out', 'list')
        self.assertEqual(code, ResultCode.DONE)
        self.assertEqual([row['target'] for row in rows], ['v2'])
        code, row = await self.run_tool('roll-out', 'show', 'shop')
        self.assertEqual(code, ResultCode.DONE)
        self.assertEqual(row['window_s'], 30)
        code, _ = await self.run_tool('roll-out', 'show', 'none')
        self.assertEqual(code, ResultCode.MOVE_UNKNOWN)

    async def test_blocked_suspect_is_listed_and_lifted(self) -> None:
        record = SuspectRecord(
            'part/bad5', 1, is_blocked=True, changed_at_s=time.time()
        )
        with contextlib.closing(
            PlatformStore(self.fleet.store.address)
        ) as store:
            await store.compare_and_swap(
                record.key, None, (record.to_mutation(),)
            )
        _, rows = await self.run_tool('quarantine', 'list')
        self.assertEqual([row['state'] for row in rows], ['refused'])
        code, _ = await self.run_tool('quarantine', 'lift', 'part/bad5')
        self.assertEqual(code, ResultCode.DONE)
        _, rows = await self.run_tool('quarantine', 'list')
        self.assertEqual([row['state'] for row in rows], ['allowed'])
        code, _ = await self.run_tool('quarantine', 'lift', 'none')
        self.assertEqual(code, ResultCode.REQUEST_UNKNOWN)
