"""Valid frames are decoded; invalid ones are rejected and counted."""

import asyncio
import dataclasses
import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from ...daemon.protocol import make_native_registry
from ...membership import GossipUpdates, Ping
from ...utils import Address, BronzesillError
from ..codec import InvalidMessage
from ..counters import WireCounters
from ..datagrams import DatagramSocket
from ..peers import PeerClient, PeerServer

_PING = Ping('entry-1', 7, 123, GossipUpdates())
_PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)


class _Echo:
    async def handle(self, request: object) -> object:
        return request


class _Failing:
    async def handle(self, request: Ping) -> object:
        if request.sender == 'odd':
            raise OverflowError
        await asyncio.sleep(0.1)
        return request


class CodecTest(unittest.TestCase):
    """Round trip of messages and rejection of invalid frames."""

    def setUp(self) -> None:
        self.registry = make_native_registry()

    def test_encoded_message_decodes_to_itself(self) -> None:
        packed = self.registry.encode(_PING)
        self.assertEqual(self.registry.decode(packed), _PING)

    def test_extra_fields_of_a_newer_sender_are_ignored(self) -> None:
        frame = msgpack.unpackb(self.registry.encode(_PING))
        frame[3].append('a field of the next version')
        self.assertEqual(self.registry.decode(msgpack.packb(frame)), _PING)

    def test_unknown_versions_and_types_are_rejected(self) -> None:
        frame = msgpack.unpackb(self.registry.encode(_PING))
        for position, wrong in ((0, 99), (2, 12345), (3, 'x'), (1, 'y')):
            broken = list(frame)
            broken[position] = wrong
            with self.assertRaises(InvalidMessage):
                self.registry.decode(msgpack.packb(broken))

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, raw: bytes) -> None:
        try:
            self.registry.decode(raw)
        except InvalidMessage:
            return

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 60), st.lists(_PLAIN, max_size=6))
    def test_any_fields(self, number: int, fields: list[object]) -> None:
        try:
            self.registry.decode(msgpack.packb((1, 0, number, fields)))
        except InvalidMessage:
            return


class SocketTest(unittest.IsolatedAsyncioTestCase):
    """Malformed input is counted and does not stop a socket."""

    async def test_malformed_datagrams_are_counted(self) -> None:
        counters = WireCounters()
        mailbox: asyncio.Queue[object] = asyncio.Queue()
        socket = DatagramSocket(make_native_registry(), counters, mailbox)
        socket.datagram_received(b'\xc1nonsense', ('127.0.0.1', 1))
        valid = make_native_registry().encode(_PING)
        socket.datagram_received(valid, ('127.0.0.1', 1))
        self.assertEqual(counters.dropped, 1)
        self.assertEqual(mailbox.qsize(), 1)

    async def test_server_answers_after_malformed_stream(self) -> None:
        registry = make_native_registry()
        counters = WireCounters()
        server = PeerServer(
            Address('127.0.0.1', 0), registry, _Echo(), counters
        )
        address = await server.start()
        _, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(b'\xc1\xc1\xc1')
        await writer.drain()
        client = PeerClient(registry, WireCounters())
        answer = await client.request(address, _PING, 2)
        self.assertEqual(answer, _PING)
        self.assertGreaterEqual(counters.dropped, 1)
        writer.close()
        await client.stop()
        await server.stop()
        with self.assertRaises(BronzesillError):
            await client.request(address, _PING, 0.5)

    # Guards against one request of a peer that fails its handler and ends the
    # connection with all others on it.
    async def test_failing_handler_ends_no_other_request(self) -> None:
        registry = make_native_registry()
        server = PeerServer(
            Address('127.0.0.1', 0), registry, _Failing(), WireCounters()
        )
        address = await server.start()
        client = PeerClient(registry, WireCounters())
        slow = asyncio.create_task(client.request(address, _PING, 2))
        await asyncio.sleep(0.05)
        odd = dataclasses.replace(_PING, sender='odd')
        with self.assertRaises(BronzesillError):
            await client.request(address, odd, 0.2)
        self.assertEqual(await slow, _PING)
        await client.stop()
        await server.stop()
