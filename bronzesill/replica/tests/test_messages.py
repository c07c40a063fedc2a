"""Keys on their way between daemons."""

import unittest

from ...store import StoredEntry
from ..messages import ReplicaEntry


class ReplicaEntryTest(unittest.TestCase):
    """What arrives is what was sent, in fewer bytes."""

    def test_entry_arrives_as_it_was(self) -> None:
        for payload in (b'', b'x', bytes(range(256)) * 400):
            entry = StoredEntry('op/config', payload, 7, is_removed=not payload)
            sent = ReplicaEntry.from_stored(entry)
            self.assertEqual(sent.to_stored(), entry)

    def test_large_configuration_is_packed(self) -> None:
        routes = b','.join(
            b'{"name":"r-%d","prefix":"/p%d/","timeoutMs":25000}' % (each, each)
            for each in range(350)
        )
        sent = ReplicaEntry.from_stored(StoredEntry('op/config', routes, 7))
        self.assertLess(len(sent.payload) * 5, len(routes))
