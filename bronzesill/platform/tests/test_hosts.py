"""A malformed list of hosts must not end the daemon that reads it."""

import unittest
from typing import Any

import aiohttp
from falcon import asgi

from ...utils import Address, BronzesillError, HttpServer, ResultCode
from ..hosts import HttpHostList

_MALFORMED = (b'', b'{', b'\xff', b'7', b'[{"name": 5}]')


class HostListTest(unittest.IsolatedAsyncioTestCase):
    """Each malformed body is reported as an unavailable list."""

    async def asyncSetUp(self) -> None:
        self.body = b''
        self.server = HttpServer(self.make_app, Address('127.0.0.1', 0))
        await self.server.start()
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.server.kill()

    def make_app(self) -> Any:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/hosts', self)
        return app

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        resp.data = self.body

    async def test_malformed_lists_are_reported(self) -> None:
        hosts = HttpHostList(self.session, self.server.address)
        for body in _MALFORMED:
            self.body = body
            with self.subTest(body=body):
                with self.assertRaises(BronzesillError) as caught:
                    await hosts.read()
                self.assertEqual(
                    caught.exception.code, ResultCode.STORE_UNAVAILABLE
                )


if __name__ == '__main__':
    unittest.main()
