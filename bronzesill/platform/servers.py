"""Decoding of the entries with which backend servers register themselves."""

from __future__ import annotations

from typing import Any

import orjson

from ..config import BackendServer, RegisteredServer
from ..utils import Address, read_integer, read_name

__all__ = ['HOST_PREFIX', 'SERVER_PREFIX', 'decode_server', 'server_name']

#: Prefix of the keys under which backend servers register themselves.
SERVER_PREFIX = 'servers/'

#: Prefix of the keys under which daemons register themselves.
HOST_PREFIX = 'bronzesill/hosts/'

_MS_PER_S = 1000
_READY = 'ready'
_DRAINING = 'draining'
_MAX_SLOTS = 65_536
_ANY_NAME = 'any'


def server_name(key: str) -> str:
    """Return the name of the backend server that a key belongs to."""
    return key.removeprefix(SERVER_PREFIX)


def decode_server(
    payload: bytes, name: str = _ANY_NAME
) -> RegisteredServer | None:
    """
    Decode the entry of a backend server.

    :param payload: JSON text as the server wrote it.
    :param name: name of the server, which is sent in headers.
    :returns: the server, none if the name or the entry is malformed, a value
        is out of bounds or the state is unknown.
    """
    try:
        read_name(name)
        return _decode_fields(orjson.loads(payload))
    except (ValueError, TypeError, LookupError):
        return None


def _decode_fields(raw: Any) -> RegisteredServer:
    return RegisteredServer(
        BackendServer(
            address=_read_address(raw['address']),
            failure_domain=read_name(raw['zone']),
            version=read_name(raw['version']),
            service=read_name(raw['service']),
            capacity=read_integer(raw['slots'], lowest=1, highest=_MAX_SLOTS),
            # `born` is the start time of the server in milliseconds since the
            # Unix epoch.
            started_at_s=_read_optional(raw, 'born') / _MS_PER_S,
        ),
        is_leaving=_read_is_leaving(raw['state']),
        sequence=_read_optional(raw, 'sequence'),
    )


def _read_address(raw: object) -> Address:
    address = Address.from_text(read_name(raw))
    read_integer(address.port, lowest=1)
    return address


def _read_optional(raw: Any, field: str) -> int:
    number = raw.get(field)
    return 0 if number is None else read_integer(number)


def _read_is_leaving(state: object) -> bool:
    if state not in {_READY, _DRAINING}:
        raise ValueError('unknown state')
    return state == _DRAINING
