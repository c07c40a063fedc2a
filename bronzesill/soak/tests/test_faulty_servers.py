"""Servers of a soak that answer wrongly, and what callers make of it."""

import asyncio
import random
import unittest
from unittest import mock

from ...standins import faulty_servers
from ...standins.faulty_servers import FaultyServer
from ...standins.worker import expected_events
from ...utils import Address
from ..connection import RawAnswer
from ..load import EARLY_UPLOAD_SERVER, ODD_STATUS_SERVER
from ..load_configuration import UPLOAD_ROUTE
from ..observations import Observations, RequestKind, Run, Sent
from ..requests import Request, choose_request, describe_answer
from ..servers import EVENTS
from ..verdict import find_breaches

_EVENT_END = b'\n\n'


def _rules(request: Request, raw: RawAnswer, *runs: Run) -> list[str]:
    sent = Sent('r', request.kind, 0, 1, 1, timeout_s=9)
    seen = Observations(
        {sent: describe_answer(request, raw, 2)}, {'r': runs}, frozenset('r')
    )
    return [breach.rule for breach in find_breaches(seen)]


def _success(body: bytes) -> RawAnswer:
    return RawAnswer(200, {'x-server-signature': 's.r'}, body, True)


class FaultyServerTest(unittest.IsolatedAsyncioTestCase):
    """They register, answer early or with an odd status, and are judged."""

    async def asyncSetUp(self) -> None:
        self.request = choose_request(
            random.Random(1), RequestKind.ORDER, 'r', UPLOAD_ROUTE
        )

    async def fetch(self, server: FaultyServer, head: bytes) -> bytes:
        with mock.patch.object(
            faulty_servers, 'maintain_registration'
        ) as maintain:
            store = Address('127.0.0.1', 1)
            serving = asyncio.create_task(server.serve(store, 0.2))
            while not maintain.called:
                await asyncio.sleep(0.01)
            address = Address.from_text(maintain.call_args[0][2]()['address'])
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            writer.write(head)
            answer = await reader.read()
            writer.close()
            await serving
        return answer

    # Guards against a soak that proves nothing, as no part looks like one.
    async def test_early_answer_is_a_part_without_length(self) -> None:
        answer = await self.fetch(
            EARLY_UPLOAD_SERVER, self.request.head('huka')
        )
        head, _, body = answer.partition(b'\r\n\r\n')
        self.assertNotIn(b'Content-Length', head)
        self.assertIn(b' 200 ', head)
        self.assertEqual(_rules(self.request, _success(body)), ['MIXED'])

    async def test_odd_status(self) -> None:
        answer = await self.fetch(ODD_STATUS_SERVER, self.request.head('huka'))
        head, _, body = answer.partition(b'\r\n\r\n')
        self.assertIn(b' 000 ', head)
        self.assertIn(b'Content-Length: %d\r\n' % len(body), head)

    async def test_health(self) -> None:
        head = b'GET /healthz HTTP/1.1\r\n\r\n'
        answer = await self.fetch(ODD_STATUS_SERVER, head)
        self.assertIn(b' 200 ', answer)


class TokensTest(unittest.TestCase):
    """Tokens of a stream that two servers sent in turn."""

    # Guards against tokens that a handover drops or sends again.
    def test_missing_or_doubled_token(self) -> None:
        request = choose_request(random.Random(1), RequestKind.STREAM, 'r')
        whole = expected_events(request.body, EVENTS)
        events = whole.split(_EVENT_END)
        first, second = (
            len(_EVENT_END.join(events[:count])) + len(_EVENT_END)
            for count in (9, 10)
        )
        runs = (Run('a', 1, 1.5), Run('b', 1.4, 2))
        for body, rules in (
            (whole, []),
            (whole[:first] + whole[second:], ['ORDER']),
            (whole[:second] + whole[first:], ['ORDER']),
            (whole[:second], ['ORDER']),
        ):
            self.assertEqual(_rules(request, _success(body), *runs), rules)


if __name__ == '__main__':
    unittest.main()
