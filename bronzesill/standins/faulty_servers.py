"""Servers whose answers are no complete answers of HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import re

from ..utils import Address
from .registration import maintain_registration

__all__ = ['FaultyServer']

_LOOPBACK = '127.0.0.1'
_HEAD_END = b'\r\n\r\n'
_ATTEMPT = re.compile(rb'x-attempt-id: *(\S+)', re.IGNORECASE)
_HEALTH_PREFIX = b'GET /healthz '
_SLOTS = 24
#: Time from the end of the answer to the end of the connection.
_CLOSE_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True)
class FaultyServer:
    """
    Server that answers calls wrongly and health checks well.

    :param name: name of the server.
    :param service: service of the server.
    :param status: status of its answers.
    :param length_header: header with the length of the body, or empty.
    """

    name: str
    service: str
    status: str
    length_header: str = ''

    async def serve(self, store: Address, for_s: float) -> None:
        """
        Register and serve for some time.

        :param store: address of the store.
        :param for_s: time in seconds.
        """
        server = await asyncio.start_server(self._answer, _LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        address = Address(_LOOPBACK, port)
        describe = functools.partial(self._registration, address)
        registering = asyncio.create_task(
            maintain_registration(store, self.name, describe)
        )
        await asyncio.sleep(for_s)
        registering.cancel()
        server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError), contextlib.closing(writer):
            head = await reader.readuntil(_HEAD_END)
            writer.write(self._make_answer(head))
            await writer.drain()
            # A connection that is closed at once with bytes unread may be
            # reset before its other end has read the answer.
            writer.write_eof()
            await asyncio.sleep(_CLOSE_DELAY_S)

    def _make_answer(self, head: bytes) -> bytes:
        if head.startswith(_HEALTH_PREFIX):
            return (
                'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                f'X-Instance-Id: {self.name}\r\n\r\n'
            ).encode()
        attempt = _ATTEMPT.search(head)
        run_id = attempt[1].decode() if attempt else ''
        return (
            f'HTTP/1.1 {self.status} X\r\n{self.length_header}'
            f'X-Attempt-Id: {run_id}\r\n'
            f'X-Server-Signature: {self.name}.{run_id}\r\n\r\n'
            f'{self.name} did POST 9'
        ).encode()

    def _registration(self, address: Address) -> dict[str, object]:
        return {
            'service': self.service,
            'address': str(address),
            'zone': 'a',
            'version': 'v1',
            'slots': _SLOTS,
            'state': 'ready',
            'coldRemainingMs': 0,
            'born': 1,
        }
