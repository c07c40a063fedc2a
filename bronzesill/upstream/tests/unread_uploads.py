"""Server that answers before it has read the request."""

from __future__ import annotations

import asyncio
import socket
import struct

from ...utils import Address

__all__ = ['HEAD_END', 'HastyServer', 'make_upload']

HEAD_END = b'\r\n\r\n'
#: Option that makes a socket send a reset when it is closed.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_READ_BYTES = 128


def make_upload(size: int) -> bytes:
    """Return a request with a body of a size in bytes."""
    head = b'POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % size
    return head + bytes(size)


class HastyServer:
    """
    Answers with the first bytes of a request, and ends its connection.

    :param answer: the bytes of the answer.
    """

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        #: Whether it reads the whole request before it answers.
        self.has_read = False
        #: Whether it ends its side before it resets the connection.
        self.ends_first = True
        #: Seconds from the request to the answer, and from its end to the
        #: reset.
        self.answer_delay_s: float = 0
        self.reset_delay_s: float = 0.02
        #: Bytes that its system takes in for it, 0 for the usual number.
        self.receive_buffer = 0
        self._listener = socket.socket()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> Address:
        """Start to accept connections, and return the address."""
        if self.receive_buffer:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        self._listener.setblocking(False)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self._task = asyncio.create_task(self._serve())
        return Address('127.0.0.1', self._listener.getsockname()[1])

    async def stop(self) -> None:
        """Close the listening socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))
        self._listener.close()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connected, _ = await loop.sock_accept(self._listener)
            with connected:
                await self._answer(connected)

    async def _answer(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        received = await loop.sock_recv(connected, _READ_BYTES)
        head, _, body = received.partition(HEAD_END)
        left = int(head.rpartition(b' ')[2]) - len(body)
        while self.has_read and left:
            left -= len(await loop.sock_recv(connected, left))
        await asyncio.sleep(self.answer_delay_s)
        await loop.sock_sendall(connected, self.answer)
        if self.has_read:
            return
        if self.ends_first:
            connected.shutdown(socket.SHUT_WR)
        await asyncio.sleep(self.reset_delay_s)
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
