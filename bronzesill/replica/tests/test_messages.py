"""Tests of the messages that replicate entries between daemons."""

import unittest

from ...store import StoredEntry, StoreRevision
from ...utils import structure_fields, unstructure_fields
from ..messages import FetchReplica, ReplicaAnswer, ReplicaEntry

_REVISION = StoreRevision(2, 7)


class FetchTest(unittest.TestCase):
    """Requests and answers of peers survive their way over the wire."""

    def test_messages_survive_conversion(self) -> None:
        request = FetchReplica(_REVISION, 0.5)
        entry = StoredEntry('a', b'x', _REVISION)
        answer = ReplicaAnswer((ReplicaEntry.from_stored(entry),), _REVISION)
        for message in (request, answer):
            fields = unstructure_fields(message)
            restored = structure_fields(fields, type(message))
            self.assertEqual(restored, message)


class ReplicaEntryTest(unittest.TestCase):
    """An entry is restored as it was sent, and its payload is compressed."""

    def test_entry_survives_conversion(self) -> None:
        for payload in (b'', b'x', bytes(range(256)) * 400):
            entry = StoredEntry(
                'op/config', payload, _REVISION, is_removed=not payload
            )
            message = ReplicaEntry.from_stored(entry)
            self.assertEqual(message.to_stored(), entry)

    def test_large_configuration_is_compressed(self) -> None:
        routes = b','.join(
            b'{"name":"r-%d","prefix":"/p%d/","timeoutMs":25000}'
            % (number, number)
            for number in range(350)
        )
        message = ReplicaEntry.from_stored(
            StoredEntry('op/config', routes, _REVISION)
        )
        self.assertLess(len(message.payload) * 5, len(routes))
