"""
Messages of an earlier build, which runs beside this one during an upgrade.

The file holds one frame of each message type, as hexadecimal text by type
number, as the build of commit 59a84b4 wrote it.
"""

import json
import unittest
from pathlib import Path

import msgpack

from ..protocol import make_native_registry

_FRAMES = Path(__file__).parent / 'frames-59a84b4.json'
#: Position of the fields of the message in a frame.
_FIELDS = 3


class EarlierBuildTest(unittest.TestCase):
    """Messages change only by further fields at their end."""

    def setUp(self) -> None:
        self.registry = make_native_registry()
        self.frames = {
            name: bytes.fromhex(text)
            for name, text in json.loads(_FRAMES.read_text()).values()
        }

    # Guards against a field that is removed, moved or of another type, and
    # against a number that is given to another type.
    def test_every_message_is_read(self) -> None:
        for name, frame in self.frames.items():
            with self.subTest(name=name):
                message = self.registry.decode(frame)
                self.assertEqual(type(message).__name__, name)

    def test_fields_are_only_added_at_the_end(self) -> None:
        for name, frame in self.frames.items():
            before = msgpack.unpackb(frame)[_FIELDS]
            message = self.registry.decode(frame)
            now = msgpack.unpackb(self.registry.encode(message))[_FIELDS]
            with self.subTest(name=name):
                self.assertEqual(now[: len(before)], before)


if __name__ == '__main__':
    unittest.main()
