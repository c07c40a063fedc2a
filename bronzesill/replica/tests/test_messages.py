"""Tests of the messages that replicate entries between daemons."""

import unittest

from ...store import StoredEntry
from ..messages import ReplicaEntry


class ReplicaEntryTest(unittest.TestCase):
    """An entry is restored as it was sent, and its payload is compressed."""

    def test_entry_survives_conversion(self) -> None:
        for payload in (b'', b'x', bytes(range(256)) * 400):
            entry = StoredEntry('op/config', payload, 7, is_removed=not payload)
            message = ReplicaEntry.from_stored(entry)
            self.assertEqual(message.to_stored(), entry)

    def test_large_configuration_is_compressed(self) -> None:
        routes = b','.join(
            b'{"name":"r-%d","prefix":"/p%d/","timeoutMs":25000}'
            % (number, number)
            for number in range(350)
        )
        message = ReplicaEntry.from_stored(StoredEntry('op/config', routes, 7))
        self.assertLess(len(message.payload) * 5, len(routes))
