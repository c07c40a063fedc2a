"""Load that a soak adds to its usual traffic."""

import asyncio
import random
import unittest
from unittest import mock

import orjson

from ...platform.documents import decode_document
from ...standins.hosted_fleet import make_configuration
from ..callers import Caller, Traffic
from ..load_configuration import (
    ACCOUNTS,
    BULK_ROUTE,
    EAGER_ACCOUNT,
    add_load,
)
from ..observations import Answer
from ..requests import Request
from ..servers import SoakServers

_REFUSED = Answer(1, 503, is_complete=True)
_SERVED = Answer(1, 200, is_complete=True, is_whole=True)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Speeds, priorities and a caller that repeats."""

    # Guards against a load that leaves the decisions by priority and by
    # account out, because all routes of the service are equal.
    def test_configuration(self) -> None:
        raw = make_configuration()
        add_load(raw)
        document = decode_document(orjson.dumps(raw)).document
        ranked = {
            service
            for service, levels in document.stream_priorities_by_service.items()
            if len(levels) > 1
        }
        self.assertEqual(ranked, {'engines'})
        self.assertEqual(set(document.accounts), {*ACCOUNTS, EAGER_ACCOUNT})

    # Guards against speeds that are not reported, or outlast their time.
    async def test_speeds(self) -> None:
        servers = SoakServers(3, 1)
        before = [server.plan for server in servers.servers_by_name.values()]
        task = asyncio.create_task(servers.vary_speeds(0.1, random.Random(1)))
        await asyncio.sleep(0)
        plans = [server.plan for server in servers.servers_by_name.values()]
        reported = [plan.slowdown_percent is not None for plan in plans]
        self.assertEqual(reported, [True, True, True, False])
        self.assertEqual(len({plan.pace_s for plan in plans[:3]}), 3)
        await task
        after = [server.plan for server in servers.servers_by_name.values()]
        self.assertEqual(before, after)

    # Guards against a caller that sends something new instead of repeating.
    async def test_repeated_request(self) -> None:
        sent: list[Request] = []

        async def call(
            traffic: Traffic, caller: Caller, new: Request
        ) -> Answer:
            sent.append(new)
            return _REFUSED if len(sent) == 1 else _SERVED

        traffic = Traffic(1, (), {}, ACCOUNTS)
        with (
            mock.patch.object(Traffic, '_call', call),
            mock.patch(f'{Traffic.__module__}._REPEATING_STREAMS', 1),
        ):
            traffic.repeat(BULK_ROUTE, 0.2)
            await traffic.finish()
        first, second, third, *_ = sent
        self.assertEqual(first.body, second.body)
        self.assertNotEqual(first.request_id, second.request_id)
        self.assertNotEqual(second.body, third.body)


if __name__ == '__main__':
    unittest.main()
