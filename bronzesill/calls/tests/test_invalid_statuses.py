"""Servers whose status is not that of an answer, read through aiohttp."""

import asyncio
import unittest

import aiohttp

from ...generations.engine_client import EngineClient
from ...generations.stream_client import AttemptRefused, StreamOpening
from ...generations.tests.sample_requests import make_request
from ...platform.reports import fetch_engine_report
from ...utils import Address, BronzesillError, ResultCode
from ..interfaces import CallRequest
from ..pass_through import send_call

_CALL = CallRequest('POST', '/', {}, b'x')
_REPORT = b'{"active": 1, "queued": 0, "kvUsed": 1, "kvTotal": 2}'


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    """They may have run the request, and what they send is not an answer."""

    async def asyncSetUp(self) -> None:
        self.status = '000'
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address('127.0.0.1', port)
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 {self.status} X\r\nContent-Length: {len(_REPORT)}'
        writer.write(b'%b\r\n\r\n%b' % (head.encode(), _REPORT))
        await writer.drain()
        writer.close()

    # Guards against a status 000 that is passed on to the caller of a call.
    async def test_call(self) -> None:
        for status in ('000', '099', '600', '999'):
            self.status = status
            with (
                self.subTest(status=status),
                self.assertRaises(BronzesillError) as raised,
            ):
                await send_call(self.session, self.address, _CALL, 2)
            self.assertIs(
                raised.exception.code, ResultCode.CALL_OUTCOME_UNKNOWN
            )

    # Guards against a run that counts as refused, i.e. as not started.
    async def test_stream(self) -> None:
        request = make_request('r', 5)
        opening = StreamOpening(request, 1, self.address, ())
        for status in ('000', '600'):
            self.status = status
            with (
                self.subTest(status=status),
                self.assertRaises(ConnectionError) as raised,
            ):
                async for _ in EngineClient(self.session).read(opening):
                    self.fail('an event of an invalid answer')
            self.assertNotIsInstance(raised.exception, AttemptRefused)

    # Guards against the report of an invalid answer as a sign of good health.
    async def test_report(self) -> None:
        self.status = '200'
        report = await fetch_engine_report(self.session, self.address)
        self.assertIsNotNone(report)
        self.status = '600'
        report = await fetch_engine_report(self.session, self.address)
        self.assertIsNone(report)


if __name__ == '__main__':
    unittest.main()
