"""Connection of a caller, on the level of bytes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from ..upstream import require_answer_status
from ..utils import Address

__all__ = ['CallerConnection', 'RawAnswer']

_CONNECT_TIMEOUT_S = 1.0
_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_HEX = 16


@dataclasses.dataclass
class RawAnswer:
    """
    Answer as far as it was read.

    :param status: status, 0 for none.
    :param headers: headers by name in lower case.
    :param body: body as received.
    :param is_complete: whether the answer ended as the protocol demands.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False

    @property
    def allows_reuse(self) -> bool:
        """Whether the connection may serve another request."""
        return self.is_complete and self.headers.get('connection') != 'close'


class CallerConnection:
    """
    Open connection to one host.

    :param host: number of the host.
    :param reader: stream of received bytes.
    :param writer: stream of sent bytes.
    """

    def __init__(
        self,
        host: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.host = host
        self.served = 0
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: int, address: Address) -> CallerConnection:
        """
        Connect to a host.

        :raises OSError: the connection failed.
        :raises TimeoutError: it was not established in time.
        """
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
        return cls(host, reader, writer)

    @property
    def is_closed(self) -> bool:
        """Whether the host has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def send(
        self, head: bytes, parts: tuple[bytes, ...], pause_s: float
    ) -> None:
        """
        Send a request.

        :param head: request line and headers.
        :param parts: encoded parts of the body, sent one by one.
        :param pause_s: pause in seconds between two parts.
        :raises OSError: the connection was closed before the last byte.
        """
        first, *later = parts or (b'',)
        self._writer.write(head + first)
        await self._writer.drain()
        for part in later:
            await asyncio.sleep(pause_s)
            self._writer.write(part)
            await self._writer.drain()

    async def receive(self, timeout_s: float) -> RawAnswer:
        """Read an answer, as far as it comes within a time in seconds."""
        answer = RawAnswer()
        with contextlib.suppress(
            OSError, EOFError, ValueError, asyncio.LimitOverrunError
        ):
            async with asyncio.timeout(timeout_s):
                await self._read_head(answer)
                await self._read_body(answer)
                answer.is_complete = True
        self.served += 1
        return answer

    async def _read_head(self, answer: RawAnswer) -> None:
        head = await self._reader.readuntil(_HEAD_END)
        status_line, *lines = head.decode('latin-1').strip().split('\r\n')
        for line in lines:
            name, _, text = line.partition(':')
            answer.headers[name.strip().lower()] = text.strip()
        status = int(status_line.split(' ')[1])
        require_answer_status(status)
        answer.status = status

    async def _read_body(self, answer: RawAnswer) -> None:
        if answer.headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(answer)
            return
        size = int(answer.headers.get('content-length', '0'))
        answer.body = await self._reader.readexactly(size)

    async def _read_chunks(self, answer: RawAnswer) -> None:
        while True:
            line = await self._reader.readuntil(_LINE_END)
            size = int(line, _HEX)
            chunk = await self._reader.readexactly(size + len(_LINE_END))
            if not size:
                return
            answer.body += chunk[:size]
