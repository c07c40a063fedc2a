"""Frames and records of other hosts meet odd values."""

import math
import unittest
from typing import Any

import msgpack
import orjson
from hypothesis import example, given
from hypothesis import strategies as st

from ...daemon.protocol import make_native_registry
from ...membership import Fact, FactKind, GossipUpdates, Member, Ping, View
from ...moves.record import MoveRecord
from ...moves.record import fact_of as move_fact_of
from ...moves.record import record_from_fact as move_from_fact
from ...moves.repository import record_from_entry as move_from_entry
from ...quarantine import (
    SuspectRecord,
    record_from_entry,
    record_from_fact,
)
from ...quarantine.record import QUARANTINE_PREFIX, fact_of
from ...replica import FetchReplica, ReplicaAnswer, ReplicaEntry
from ...routing import FetchUse, ServerRestart, ServerUse, UseReport
from ...store import StoredEntry, StoreRevision
from ...utils import Address, DocumentInvalid, structure, unstructure
from ...utils.tests.odd_values import FUZZ_SETTINGS, every_mutation, mutated
from ..codec import InvalidMessage

_ADDRESS = Address('10.0.0.1', 80)
_REVISION = StoreRevision(1, 7)
_ENTRY = ReplicaEntry('a', b'x', _REVISION, is_removed=False)
_MEMBER = Member('host-1', 'r', 'a', _ADDRESS, _ADDRESS, 1)
_FACT = Fact(FactKind.HOST_LEAVING, 'host-1', 1)
_UPDATES = GossipUpdates((_MEMBER,), (_FACT,))
_MESSAGES = (
    Ping('host-1', 7, 123, _UPDATES, _ADDRESS),
    View(_UPDATES),
    FetchUse('host-1'),
    UseReport(
        'host-1',
        3,
        (ServerUse('i-1', 1, 1, 9),),
        ('i-2',),
        (ServerRestart('i-3', 'i-4'),),
        2.5,
    ),
    FetchReplica(_REVISION, 1.5, 4),
    ReplicaAnswer((_ENTRY,), _REVISION, configuration=_ENTRY),
)
_SUSPECT = SuspectRecord('part/x', 2, is_blocked=True, changed_at_s=5)
_MOVE = MoveRecord('m-1', 'shop', 'v1', 'v2', 1.5, 9.5, 'op', 'why')
_DEEP = b'[' * 1000 + b']' * 1000


def _fields(message: object) -> Any:
    """Return the frame of a message, as maps and lists."""
    registry = make_native_registry()
    return msgpack.unpackb(registry.encode(message))


def _numbers(fields: Any) -> list[float]:
    if isinstance(fields, list):
        return [number for inner in fields for number in _numbers(inner)]
    return [fields] if isinstance(fields, int | float) else []


class FrameFuzzTest(unittest.TestCase):
    """A frame is decoded to finite values, or rejected with one error."""

    def setUp(self) -> None:
        self.registry = make_native_registry()

    def check(self, packed: bytes) -> None:
        try:
            message = self.registry.decode(packed)
        except InvalidMessage as error:
            self.assertLess(len(str(error)), 10_000)
            return
        numbers = _numbers(_fields(message))
        self.assertTrue(all(math.isfinite(number) for number in numbers))

    def test_each_value_replaced(self) -> None:
        for message in _MESSAGES:
            for frame in every_mutation(_fields(message)):
                self.check(msgpack.packb(frame))

    @FUZZ_SETTINGS
    @given(
        st.sampled_from(_MESSAGES).flatmap(
            lambda message: mutated(_fields(message))
        )
    )
    @example([1, 0, 10, [math.nan, math.inf, -math.inf]])
    def test_several_values_replaced(self, frame: Any) -> None:
        self.check(msgpack.packb(frame))

    # Guards against pauses without an end, and timers that are never sorted.
    def test_numbers_that_are_not_finite(self) -> None:
        for odd in (math.nan, math.inf, -math.inf):
            frame = _fields(FetchReplica(_REVISION, 1.5, 4))
            frame[3][1] = odd
            with self.subTest(odd), self.assertRaises(InvalidMessage):
                self.registry.decode(msgpack.packb(frame))

    def test_deep_frames(self) -> None:
        for depth in (100, 400, 900, 5000, 100_000):
            with self.subTest(depth), self.assertRaises(InvalidMessage):
                self.registry.decode(b'%b\x90' % (b'\x91' * depth))


class RecordFuzzTest(unittest.TestCase):
    """Records in the store and in facts are decoded, or left out."""

    def check_suspect(self, payload: bytes) -> None:
        entry = StoredEntry(f'{QUARANTINE_PREFIX}x', payload, _REVISION)
        record = record_from_entry(entry)
        if record is not None:
            self.assertTrue(math.isfinite(record.ends_at_s))

    def check_move(self, payload: bytes) -> None:
        entry = StoredEntry('/bronzesill/moves/m-1', payload, _REVISION)
        move_from_entry(entry)

    def check_member(self, payload: bytes) -> None:
        try:
            structure(orjson.loads(payload), Member)
        except (DocumentInvalid, ValueError):
            return

    def test_each_value_replaced(self) -> None:
        for check, valid in (
            (self.check_suspect, _SUSPECT),
            (self.check_move, _MOVE),
            (self.check_member, _MEMBER),
        ):
            for document in every_mutation(unstructure(valid)):
                check(orjson.dumps(document))
            check(b'{"suspect":%b,"name":%b,"move_id":%b}' % ((_DEEP,) * 3))

    def test_each_value_of_a_fact_replaced(self) -> None:
        for document in every_mutation(orjson.loads(fact_of(_SUSPECT).text)):
            text = orjson.dumps(document).decode()
            record_from_fact(Fact(FactKind.SUSPECT, 'part/x', 2, text))
        for fields in every_mutation(orjson.loads(move_fact_of(_MOVE).text)):
            text = orjson.dumps(fields).decode()
            record = move_from_fact(Fact(FactKind.MOVE_RECORD, 'm-1', 2, text))
            if record is not None:
                self.assertTrue(0 <= record.share <= 1)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    @example(_DEEP)
    def test_any_bytes(self, payload: bytes) -> None:
        self.check_suspect(payload)
        self.check_move(payload)
        self.check_member(payload)
