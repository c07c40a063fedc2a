"""Validation of configuration and settings; adoption of revisions."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, settings
from hypothesis import strategies as st

from ...utils import DocumentInvalid, ResultCode
from ..overlay import build_document, merge_overlay
from ..revision import Revision, should_adopt
from ..settings import DaemonSettings

_KEY = 'a' * 64
_BASE = f"""
accounts: {{shop-1: {{key_sha256: {_KEY}}}}}
models: {{guide: {{version: v1}}}}
servers:
  engine-1:
    {{address: '10.0.0.1:80', failure_domain: a, version: v1, model: guide}}
"""


class DocumentTest(unittest.TestCase):
    """Merging and validation of a base file and an overlay."""

    def faults(self, base: str, overlay: str = '') -> tuple[str, ...]:
        with self.assertRaises(DocumentInvalid) as caught:
            build_document(base, overlay)
        return caught.exception.faults

    def test_overlay_changes_adds_and_removes(self) -> None:
        overlay = (
            'limits: {max_waiting: 3}\n'
            'servers: {engine-1: {capacity: 4}}\n'
            'accounts: {shop-1: null}\n'
        )
        document = build_document(_BASE, overlay)
        self.assertEqual(document.limits.max_waiting, 3)
        self.assertEqual(document.servers['engine-1'].capacity, 4)
        self.assertEqual(document.accounts, {})

    def test_all_faults_are_listed_with_their_path(self) -> None:
        overlay = (
            'limits: {max_waiting: many, colour: red}\n'
            "servers: {engine-1: {address: 'nowhere'}}\n"
        )
        faults = ' | '.join(self.faults(_BASE, overlay))
        self.assertIn('$.limits.max_waiting', faults)
        self.assertIn('colour', faults)
        self.assertIn("$.servers['engine-1'].address", faults)

    def test_references_are_checked(self) -> None:
        overlay = (
            'servers: {engine-1: {model: other}}\n'
            'routes: {r: {path: shop, service: none}}\n'
        )
        faults = ' | '.join(self.faults(_BASE, overlay))
        self.assertIn('unknown model other', faults)
        self.assertIn('$.routes.r.service', faults)
        self.assertIn('$.routes.r.path', faults)

    def test_text_that_is_not_yaml(self) -> None:
        self.assertIn('not YAML', self.faults('a: [')[0])
        self.assertIn('expected a map', self.faults('- a')[0])

    def test_null_removes_and_maps_merge(self) -> None:
        merged = merge_overlay({'a': {'b': 1, 'c': 2}}, {'a': {'b': None}})
        self.assertEqual(merged, {'a': {'c': 2}})


class RevisionTest(unittest.TestCase):
    """Adopted revision numbers only increase, whatever the order of offers."""

    @settings(max_examples=200, derandomize=True, database=None)
    @given(st.lists(st.integers(0, 9), max_size=30))
    def test_adopted_number_never_decreases(self, offers: list[int]) -> None:
        current = Revision()
        for number in offers:
            offered = Revision(number, number)
            if should_adopt(current, offered):
                self.assertGreater(offered.number, current.number)
                current = offered
        self.assertEqual(current.number, max(offers, default=0))


class SettingsTest(unittest.TestCase):
    """Validation of a host's settings file."""

    def test_all_faults_at_once(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'host.yaml'
            path.write_text("name: 7\ncallers: 'x:1'\nspeed: 3\n")
            with self.assertRaises(DocumentInvalid) as caught:
                DaemonSettings.from_file(path)
        faults = ' | '.join(caught.exception.faults)
        for part in ('$.name', '$.callers', 'speed', 'region'):
            self.assertIn(part, faults)
        self.assertEqual(int(ResultCode.DOCUMENT_INVALID), 4001)
