"""Decoding of the entries with which backend servers register themselves."""

from __future__ import annotations

from typing import Any

import orjson

from ..config import BackendServer, RegisteredServer
from ..utils import Address

__all__ = ['HOST_PREFIX', 'SERVER_PREFIX', 'decode_server', 'server_name']

#: Prefix of the keys under which backend servers register themselves.
SERVER_PREFIX = 'servers/'

#: Prefix of the keys under which daemons register themselves.
HOST_PREFIX = 'bronzesill/hosts/'

_MS_PER_S = 1000
_READY = 'ready'
_DRAINING = 'draining'


def server_name(key: str) -> str:
    """Return the name of the backend server that a key belongs to."""
    return key.removeprefix(SERVER_PREFIX)


def decode_server(payload: bytes) -> RegisteredServer | None:
    """
    Decode the entry of a backend server.

    :param payload: JSON text as the server wrote it.
    :returns: the server, none if the entry is malformed or its state is
        unknown.
    """
    try:
        raw = orjson.loads(payload)
        return _decode_fields(raw)
    except (ValueError, TypeError, KeyError):
        return None


def _decode_fields(raw: Any) -> RegisteredServer | None:
    state = raw['state']
    required_texts = (
        raw['service'],
        raw['address'],
        raw['zone'],
        raw['version'],
    )
    if state not in {_READY, _DRAINING}:
        return None
    if not all(isinstance(text, str) and text for text in required_texts):
        return None
    slots = raw['slots']
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        return None
    return RegisteredServer(
        BackendServer(
            address=Address.from_text(raw['address']),
            failure_domain=raw['zone'],
            version=raw['version'],
            service=raw['service'],
            capacity=slots,
            # `born` is the start time of the server in milliseconds since the
            # Unix epoch.
            started_at_s=int(raw.get('born') or 0) / _MS_PER_S,
        ),
        is_leaving=state == _DRAINING,
        sequence=int(raw.get('sequence') or 0),
    )
