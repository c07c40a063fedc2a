"""Faulty answers on direct and relayed connections; no network is used."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from ...upstream import AnswerError, UpstreamConnection
from ...utils import Address
from ...utils.tests.odd_values import FUZZ_SETTINGS
from ...wire import MessageRegistry
from ..connections import (
    RELAY_TYPES_BY_NUMBER,
    RelayClient,
    RelayData,
    RelayEnd,
    RelayOpen,
    RelayOpened,
)

_BODY = b'answer-1'
_NEXT = b'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nanswer-2'
_CHUNKED = b'transfer-encoding: chunked\r\n'
_CHUNKS = b'3\r\nans\r\n5\r\nwer-1\r\n0\r\n\r\n'
_REGISTRY = MessageRegistry(dict(RELAY_TYPES_BY_NUMBER))
_BODILESS = (204, 304)
_BOOL = st.booleans()


@dataclasses.dataclass(frozen=True)
class _Fault:
    """
    One answer of a faulty server.

    :param status: its status.
    :param framing: ``length``, ``chunked``, ``close`` or ``both``.
    :param length: text of its length.
    :param copies: how often it is sent.
    :param is_early: whether it comes before the request.
    :param is_reset: whether the connection is reset at the end of the answer.
    :param has_upload: whether a part of the request has not arrived.
    """

    status: int = 200
    framing: str = 'length'
    length: str = '8'
    copies: int = 1
    is_early: bool = False
    is_reset: bool = False
    has_upload: bool = False

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        length = b'content-length: %b\r\n' % self.length.encode()
        fields, body = {
            'length': (length, _BODY),
            'chunked': (_CHUNKED, _CHUNKS),
            'close': (b'', _BODY),
            'both': (length + _CHUNKED, _CHUNKS),
        }[self.framing]
        return b'HTTP/1.1 %03d X\r\n%b\r\n%b' % (self.status, fields, body)

    @property
    def expected(self) -> bytes | None:
        """Body of the whole answer, ``None`` if it is invalid."""
        has_length = self.framing == 'length'
        is_odd = has_length and self.length not in {'8', '3'}
        if not 200 <= self.status <= 599 or self.framing == 'both' or is_odd:
            return None
        if self.status in _BODILESS:
            return b''
        if self.framing == 'close':
            return None if self.is_reset or self.has_upload else self._rest
        return _BODY[: int(self.length)] if has_length else _BODY

    @property
    def _rest(self) -> bytes:
        """All that follows the first head, which is then one body."""
        return (self.encode() * self.copies).partition(b'\r\n\r\n')[2]


_FAULTS = st.builds(
    _Fault,
    st.sampled_from((200, 200, 404, 599, 204, 304, 0, 99, 100, 101, 103, 600)),
    st.sampled_from(('length', 'length', 'chunked', 'close', 'both')),
    st.sampled_from(('8', '8', '3', '9', '-1', '+8', '0x8', '8, 8', '9' * 30)),
    st.integers(1, 2),
    _BOOL,
    _BOOL,
    _BOOL,
)


class _Direct:
    """Connection to a server, and the server's end of it."""

    def __init__(self, fault: _Fault) -> None:
        self.fault = fault
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = fault.has_upload
        self.transport.get_extra_info.return_value = None
        self.connection = UpstreamConnection()
        self.connection.connection_made(self.transport)

    def deliver(self, received: bytes) -> None:
        """Have bytes arrive unless the connection was aborted."""
        if not self.transport.abort.called:
            self.connection.data_received(received)

    def end(self) -> None:
        """End the connection."""
        if self.fault.is_reset:
            self.connection.connection_lost(ConnectionResetError())
        elif not self.connection.eof_received():
            self.connection.connection_lost(None)


class _Relayed(_Direct):
    """The same through a peer."""

    def __init__(self, fault: _Fault) -> None:
        super().__init__(fault)
        self.transport.get_extra_info.return_value = mock.Mock()
        opening = RelayOpen('h', 's', Address('127.0.0.1', 1), 1)
        self.client = RelayClient(_REGISTRY, opening)
        self.client.connection_made(self.transport)
        self._tell(RelayOpened())
        self.connection = self.client.upstream

    def deliver(self, received: bytes) -> None:
        if not self.transport.abort.called:
            self._tell(RelayData(received))

    def end(self) -> None:
        self._tell(RelayEnd(is_clean=not self.fault.is_reset))
        self.client.connection_lost(None)

    def _tell(self, message: object) -> None:
        self.client.data_received(_REGISTRY.encode(message))


class AnswerFuzzTest(unittest.TestCase):
    """The caller gets exactly the answer to its own request, or an error."""

    @FUZZ_SETTINGS
    @given(_FAULTS, st.lists(st.integers(0, 80), max_size=2), _BOOL)
    def test_any_answer(
        self, fault: _Fault, splits: list[int], is_relayed: bool
    ) -> None:
        wire = _Relayed if is_relayed else _Direct
        sent = fault.encode() * fault.copies
        starts = [0, *sorted(splits)]
        parts = [
            sent[start:end]
            for start, end in zip(starts, [*starts[1:], None], strict=True)
        ]
        asyncio.run(self.check(wire, fault, [part for part in parts if part]))

    def test_cut_at_each_byte(self) -> None:
        for fault in (
            _Fault(),
            _Fault(is_reset=True),
            _Fault(framing='chunked'),
            _Fault(framing='close', is_reset=True),
            _Fault(framing='close', has_upload=True),
            _Fault(framing='both'),
            _Fault(status=0),
        ):
            for wire in (_Direct, _Relayed):
                asyncio.run(self.check_cuts(wire, fault))

    async def check_cuts(self, wire: type[_Direct], fault: _Fault) -> None:
        whole = fault.encode()
        for length, _ in enumerate(whole):
            answer = await self.ask(wire(fault), [whole[:length]])
            self.assertIsNone(answer, (fault, whole[:length]))

    async def check(
        self, wire: type[_Direct], fault: _Fault, parts: list[bytes]
    ) -> None:
        connected = wire(fault)
        if fault.is_early:
            connected.deliver(parts.pop(0))
            self.assertFalse(connected.connection.is_reusable)
            return
        answer = await self.ask(connected, parts)
        self.assertEqual(answer, fault.expected)
        if connected.connection.is_reusable:
            self.assertEqual(fault.copies, 1)
            answer = await self.ask(connected, [_NEXT])
            self.assertEqual(answer, b'answer-2')

    async def ask(self, wire: _Direct, parts: list[bytes]) -> bytes | None:
        """Return the body of the answer, ``None`` for an error."""
        reading = asyncio.create_task(self.read(wire.connection))
        await asyncio.sleep(0)
        for part in parts:
            wire.deliver(part)
        # An answer with a length is complete without the end.
        for _ in range(3):
            await asyncio.sleep(0)
        if not reading.done():
            wire.end()
        async with asyncio.timeout(1):
            return await reading

    async def read(self, connection: UpstreamConnection) -> bytes | None:
        body = b''
        try:
            await connection.send(b'GET / HTTP/1.1\r\n\r\n', is_head=False)
            chunk = await connection.read()
            while chunk:
                body += chunk
                chunk = await connection.read()
        except AnswerError:
            return None
        return body


if __name__ == '__main__':
    unittest.main()
