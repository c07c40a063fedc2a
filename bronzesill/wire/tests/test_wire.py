"""Frames that make sense come through; all others are dropped."""

import asyncio
import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from ...daemon.protocol import make_registry
from ...membership import Ping, Rumours
from ...utils import Address, BronzesillError
from ..codec import UnknownMessage
from ..counters import WireCounters
from ..datagrams import DatagramSocket
from ..peers import PeerClient, PeerServer

_PING = Ping('entry-1', 7, 123, Rumours())
_PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)


class _Echo:
    async def answer(self, question: object) -> object:
        return question


class CodecTest(unittest.TestCase):
    """Encoding, and what becomes of nonsense."""

    def setUp(self) -> None:
        self.registry = make_registry()

    def test_messages_come_through(self) -> None:
        packed = self.registry.encode(_PING)
        self.assertEqual(self.registry.decode(packed), _PING)

    def test_fields_of_a_newer_sender_are_passed_over(self) -> None:
        frame = msgpack.unpackb(self.registry.encode(_PING))
        frame[3].append('a field of the next version')
        self.assertEqual(self.registry.decode(msgpack.packb(frame)), _PING)

    def test_other_versions_and_numbers_are_refused(self) -> None:
        frame = msgpack.unpackb(self.registry.encode(_PING))
        for position, wrong in ((0, 99), (2, 12345), (3, 'x'), (1, 'y')):
            broken = list(frame)
            broken[position] = wrong
            with self.assertRaises(UnknownMessage):
                self.registry.decode(msgpack.packb(broken))

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, raw: bytes) -> None:
        try:
            self.registry.decode(raw)
        except UnknownMessage:
            return

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 60), st.lists(_PLAIN, max_size=6))
    def test_any_fields(self, number: int, fields: list[object]) -> None:
        try:
            self.registry.decode(msgpack.packb((1, 0, number, fields)))
        except UnknownMessage:
            return


class SocketTest(unittest.IsolatedAsyncioTestCase):
    """Sockets survive nonsense and count it."""

    async def test_datagrams_of_nonsense_are_counted(self) -> None:
        counters = WireCounters()
        mailbox: asyncio.Queue[object] = asyncio.Queue()
        socket = DatagramSocket(make_registry(), counters, mailbox)
        socket.datagram_received(b'\xc1nonsense', ('127.0.0.1', 1))
        good = make_registry().encode(_PING)
        socket.datagram_received(good, ('127.0.0.1', 1))
        self.assertEqual(counters.dropped, 1)
        self.assertEqual(mailbox.qsize(), 1)

    async def test_stream_answers_after_nonsense_from_another(self) -> None:
        registry = make_registry()
        counters = WireCounters()
        server = PeerServer(
            Address('127.0.0.1', 0), registry, _Echo(), counters
        )
        address = await server.start()
        _, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(b'\xc1\xc1\xc1')
        await writer.drain()
        client = PeerClient(registry, WireCounters())
        answer = await client.ask(address, _PING, 2)
        self.assertEqual(answer, _PING)
        self.assertGreaterEqual(counters.dropped, 1)
        writer.close()
        await client.stop()
        await server.stop()
        with self.assertRaises(BronzesillError):
            await client.ask(address, _PING, 0.5)
