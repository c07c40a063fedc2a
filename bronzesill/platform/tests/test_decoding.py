"""Tests of decoding the configuration, server entries and settings."""

import unittest
from typing import Any

import orjson

from ...utils import DocumentInvalid, hash_secret
from ..documents import decode_document
from ..servers import decode_server
from ..settings import decode_settings

_DIGITS = '9' * 400

_CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'guides',
            'host': 'a.example',
            'prefix': '/g/',
            'routeType': 'streaming',
            'timeoutMs': 25000,
            'targetLatencyMs': 4500,
            'service': 'engines',
            'maxAttempts': 5,
            'resumable': True,
            'itlTargetMs': 700,
        },
        {
            'name': 'orders',
            'host': 'a.example',
            'prefix': '/g/orders/',
            'routeType': 'non_idempotent',
            'backends': [
                {'service': 'shop', 'weight': 90},
                {'service': 'shop2', 'weight': 10},
            ],
            'maxAttempts': 1,
            'public': True,
        },
    ],
    'services': [
        {'name': 'engines', 'inferenceEngine': {'slots': 12, 'backups': True}},
        {'name': 'shop', 'maxConnections': 90},
    ],
    'limits': {'maxHeaderBytes': 100, 'headerTimeoutMs': 3000},
    'tenants': [{'name': 'huka', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
}

_ENTRY: dict[str, Any] = {
    'service': 'shop',
    'address': '10.0.0.9:80',
    'zone': 'z-a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'sequence': 4,
    'born': 1700000000123,
}

_SETTINGS: dict[str, Any] = {
    'nodeName': 'edge-1',
    'zone': 'z-a',
    'region': 'r',
    'ip': '10.0.0.1',
    'listen': {
        'frontend': '10.0.0.1:1',
        'readiness': '10.0.0.1:2',
        'registry': '10.0.0.1:3',
    },
    'portRange': [7200, 7215],
    'platform': {'address': '10.0.0.7:9'},
    'bounds': {'gracePeriodS': 8, 'drainMs': 2000, 'revokeStrict': False},
    'aFieldOfTheFuture': 1,
}


class DocumentTest(unittest.TestCase):
    """Configuration written by operators."""

    def setUp(self) -> None:
        self.versioned = decode_document(orjson.dumps(_CONFIGURATION))
        self.document = self.versioned.document

    def test_longest_prefix_selects_the_route(self) -> None:
        find = self.document.find_route
        self.assertEqual(find('a.example', '/g/orders/1'), 'orders')
        self.assertEqual(find('a.example', '/g/ordersX'), 'guides')
        self.assertIsNone(find('b.example', '/g/1'))

    def test_route_type_determines_idempotence(self) -> None:
        guides = self.document.routes['guides']
        self.assertTrue(guides.is_stream and guides.idempotent)
        self.assertEqual(guides.max_pause_s, 0.7)
        orders = self.document.routes['orders']
        self.assertFalse(orders.idempotent)
        self.assertEqual(orders.weight_by_service, {'shop': 90, 'shop2': 10})

    def test_stream_that_is_not_resumable_is_not_idempotent(self) -> None:
        route = {**_CONFIGURATION['routes'][0], 'resumable': False}
        raw = {**_CONFIGURATION, 'routes': [route]}
        document = decode_document(orjson.dumps(raw)).document
        self.assertFalse(document.routes['guides'].idempotent)

    def test_every_key_of_an_account_identifies_it(self) -> None:
        by_key = self.document.account_by_key
        self.assertEqual(by_key[hash_secret('k2')], 'huka')
        self.assertNotIn(hash_secret('k3'), by_key)

    def test_accounts_are_optional(self) -> None:
        raw = {**_CONFIGURATION}
        raw.pop('tenants')
        self.assertTrue(self.document.has_accounts)
        self.assertFalse(
            decode_document(orjson.dumps(raw)).document.has_accounts
        )

    def test_malformed_configuration_is_rejected(self) -> None:
        for payload in (b'', b'[]', b'{"routes": [1]}', b'{"tenants": 3}'):
            with self.subTest(payload), self.assertRaises(DocumentInvalid):
                decode_document(payload)

    # Guards against hosts that end, or take up a document, because of a value
    # that no decoder of a field expects.
    def test_values_out_of_bounds_are_rejected(self) -> None:
        guides, orders = _CONFIGURATION['routes']
        for change in (
            {'version': _DIGITS},
            {'version': True},
            {'version': -1},
            {'routes': [{**guides, 'timeoutMs': _DIGITS}]},
            {'routes': [{**guides, 'timeoutMs': -1}]},
            {'routes': [{**guides, 'timeoutMs': 1e300}]},
            {'routes': [{**guides, 'maxAttempts': 0}]},
            {'routes': [{**guides, 'service': None}]},
            {'routes': [{**guides, 'service': 'a b'}]},
            {'routes': [{**guides, 'prefix': ['/g/']}]},
            {'routes': [{**orders, 'public': 'no'}]},
            {'routes': [{**orders, 'backends': [{'service': 's'}]}]},
            {'routes': [{**orders, 'backends': [_weight(0), _weight(0)]}]},
            {'routes': [{**orders, 'backends': [_weight(-1)]}]},
            {'services': [{'name': 's', 'healthPath': '/h\r\nX: 1'}]},
            {'services': [{'name': 's', 'inferenceEngine': {'slots': 0}}]},
            {'limits': {'maxBodyBytes': -1}},
            {'tenants': [{'name': 'a\r\nX-Tenant: b', 'apiKeys': ['k']}]},
            {'tenants': [{'name': 'a', 'apiKeys': 'k1'}]},
        ):
            with self.subTest(change), self.assertRaises(DocumentInvalid):
                decode_document(orjson.dumps({**_CONFIGURATION, **change}))


def _weight(weight: int) -> dict[str, Any]:
    return {'service': 's', 'weight': weight}


class ServerTest(unittest.TestCase):
    """Entries with which backend servers register themselves."""

    def test_entry_is_decoded(self) -> None:
        listed = decode_server(orjson.dumps(_ENTRY))
        assert listed is not None
        self.assertEqual(listed.server.failure_domain, 'z-a')
        self.assertEqual(listed.server.started_at_s, 1700000000.123)
        self.assertFalse(listed.is_leaving)

    def test_malformed_entries_are_ignored(self) -> None:
        for change in (
            {'state': 'asleep'},
            {'service': 3},
            {'address': 'nowhere'},
            {'slots': True},
            {'slots': '6'},
            {'zone': ''},
            {'born': _DIGITS},
            {'born': -1},
            {'born': 1.5},
            {'sequence': '4'},
            {'sequence': True},
            {'slots': 2**63 - 1},
            {'slots': 0},
            {'address': '10.0.0.9:0'},
            {'address': '10.0.0.9:65536'},
            {'address': f'10.0.0.9:{_DIGITS}'},
            {'address': '10.0.0.9:٨٠'},
            {'service': 'shop\r\nX-Tenant: other'},
        ):
            with self.subTest(change):
                payload = orjson.dumps({**_ENTRY, **change})
                self.assertIsNone(decode_server(payload))
        for payload in (b'', b'\xff\x00', b'[]', b'null', b'{}'):
            with self.subTest(payload):
                self.assertIsNone(decode_server(payload))

    def test_name_that_cannot_be_sent_is_ignored(self) -> None:
        payload = orjson.dumps(_ENTRY)
        for name in ('', 'a b', 'a\r\nX-Tenant: other', '名', 'a' * 300):
            with self.subTest(name):
                self.assertIsNone(decode_server(payload, name))


class SettingsTest(unittest.TestCase):
    """Settings file of a host."""

    def test_unknown_fields_are_ignored(self) -> None:
        settings = decode_settings(_SETTINGS)
        self.assertEqual(str(settings.peers), '10.0.0.1:7200')
        self.assertEqual(settings.bounds.drain_s, 2)

    def test_every_missing_field_is_reported(self) -> None:
        raw = {**_SETTINGS, 'listen': {'frontend': 'x'}}
        raw.pop('zone')
        with self.assertRaises(DocumentInvalid) as caught:
            decode_settings(raw)
        faults = '\n'.join(caught.exception.faults)
        for place in ('$.zone', '$.listen.frontend', '$.listen.registry'):
            self.assertIn(place, faults)
