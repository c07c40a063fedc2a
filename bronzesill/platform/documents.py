"""Decoding of the configuration that operators write on the platform."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

import orjson

from ..config import (
    ClientAccount,
    Document,
    EngineCapabilities,
    Limits,
    Route,
    Service,
    VersionedDocument,
)
from ..utils import (
    DocumentInvalid,
    hash_secret,
    read_flag,
    read_integer,
    read_name,
    read_number,
)

__all__ = ['CONFIGURATION_KEY', 'decode_document']

#: Key of the current configuration in the key-value store.
CONFIGURATION_KEY = 'op/config'

_MS_PER_S = 1000
_DEFAULT_DEADLINE_MS = 60_000
_STREAMING = 'streaming'
_IDEMPOTENT = 'idempotent'

#: Exceptions raised when a document does not have the expected structure.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    RecursionError,
)

_MAX_PRIORITY = 9
#: Longest time in a document: a day.
_MAX_MS = 86_400_000
#: Largest number of bytes, slots, tokens or attempts.
_MAX_COUNT = 2**40
_MAX_KEY_CHARS = 1024
_MAX_TEXT_CHARS = 8192


def decode_document(payload: bytes) -> VersionedDocument:
    """
    Decode a configuration.

    :param payload: JSON text as operators write it.
    :raises DocumentInvalid: the text is not JSON, a required field is missing
        or a field has another type.
    """
    try:
        raw = orjson.loads(payload)
        document = Document(
            accounts=_decode_accounts(raw.get('tenants', ())),
            models={},
            servers={},
            services=_decode_services(raw.get('services', ())),
            routes=_decode_routes(raw.get('routes', ())),
            limits=_decode_limits(raw.get('limits', {})),
            has_accounts='tenants' in raw,
        )
        return VersionedDocument(read_integer(raw.get('version', 0)), document)
    except _DECODE_ERRORS as error:
        fault = f'invalid configuration: {type(error).__name__}: {error}'
        raise DocumentInvalid((fault,)) from error


def _decode_accounts(raw: list[Mapping[str, Any]]) -> dict[str, ClientAccount]:
    accounts: dict[str, ClientAccount] = {}
    for tenant in raw:
        digests = _hash_keys(tenant.get('apiKeys', []))
        first, *more = digests or ['']
        priority = tenant.get('priority')
        accounts[read_name(tenant['name'])] = ClientAccount(
            key_sha256=first,
            more_keys_sha256=tuple(more),
            priority=None if priority is None else _read_priority(priority),
        )
    return accounts


def _hash_keys(keys: object) -> list[str]:
    if not isinstance(keys, list):
        raise ValueError('expected a list of keys')
    return [_hash_key(key) for key in keys]


def _hash_key(key: object) -> str:
    if not isinstance(key, str) or not 0 < len(key) <= _MAX_KEY_CHARS:
        raise ValueError(f'expected a key of 1 to {_MAX_KEY_CHARS} characters')
    return hash_secret(key)


def _decode_services(raw: list[Mapping[str, Any]]) -> dict[str, Service]:
    return {
        read_name(service['name']): Service(
            max_connections=_read_count(service, 'maxConnections', 100),
            engine=_decode_engine(service.get('inferenceEngine')),
            health_path=_decode_health_path(service.get('healthPath')),
        )
        for service in raw
    }


def _decode_health_path(raw: object) -> str:
    # The path is sent in the first line of a request.
    return read_name(raw) if raw else ''


def _decode_engine(raw: Mapping[str, Any] | None) -> EngineCapabilities | None:
    if raw is None:
        return None
    return EngineCapabilities(
        slots=_read_count(raw, 'slots', 1, lowest=1),
        memory_tokens=_read_count(raw, 'kvCapacity', 0),
        keeps_copies=read_flag(raw.get('backups', False)),
        copy_ttl_s=read_number(raw.get('handleTtlS', 0), highest=_MAX_MS),
    )


def _decode_routes(raw: list[Mapping[str, Any]]) -> dict[str, Route]:
    return {_read_text(route['name']): _decode_route(route) for route in raw}


def _decode_route(raw: Mapping[str, Any]) -> Route:
    is_stream = raw['routeType'] == _STREAMING
    weights = _decode_weights(raw.get('backends', ()))
    # A stream may only be retried if it can be resumed at the event after
    # which it was interrupted.
    may_retry = (
        read_flag(raw.get('resumable', False))
        if is_stream
        else raw['routeType'] == _IDEMPOTENT
    )
    return Route(
        path=_read_text(raw['prefix']),
        service=read_name(raw.get('service') or next(iter(weights), None)),
        idempotent=may_retry,
        deadline_s=_read_seconds(raw, 'timeoutMs', _DEFAULT_DEADLINE_MS),
        host=_read_text(raw['host']),
        is_stream=is_stream,
        is_public=read_flag(raw.get('public', False)),
        max_attempts=_read_count(raw, 'maxAttempts', 1, lowest=1),
        # `itlTargetMs` is the longest pause between two events that counts
        # as on time, not a mean.
        max_pause_s=_read_seconds(raw, 'itlTargetMs', 0),
        target_latency_s=_read_seconds(raw, 'targetLatencyMs', 0),
        priority=_read_priority(raw.get('priority', 1)),
        weight_by_service=weights,
    )


def _decode_weights(raw: list[Mapping[str, Any]]) -> dict[str, float]:
    weights = {
        read_name(backend['service']): read_number(backend['weight'])
        for backend in raw
    }
    if weights and not any(weights.values()):
        raise ValueError('all weights are 0')
    return weights


def _decode_limits(raw: Mapping[str, Any]) -> Limits:
    defaults = Limits()
    head_s = _read_seconds(raw, 'headerTimeoutMs', 0) or defaults.head_timeout_s
    idle_s = _read_seconds(raw, 'idleTimeoutMs', 0) or defaults.idle_timeout_s
    return dataclasses.replace(
        defaults,
        max_body_bytes=_read_count(
            raw, 'maxBodyBytes', defaults.max_body_bytes
        ),
        max_header_bytes=_read_count(
            raw, 'maxHeaderBytes', defaults.max_header_bytes
        ),
        head_timeout_s=head_s,
        idle_timeout_s=idle_s,
    )


def _read_seconds(
    raw: Mapping[str, Any], field: str, default_ms: float
) -> float:
    milliseconds = read_number(raw.get(field) or default_ms, highest=_MAX_MS)
    return milliseconds / _MS_PER_S


def _read_count(
    raw: Mapping[str, Any], field: str, default: int, lowest: int = 0
) -> int:
    count = raw.get(field, default)
    return int(read_number(count, lowest=lowest, highest=_MAX_COUNT))


def _read_priority(raw: object) -> int:
    return read_integer(raw, highest=_MAX_PRIORITY)


def _read_text(raw: object) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= _MAX_TEXT_CHARS:
        raise ValueError(f'expected 1 to {_MAX_TEXT_CHARS} characters')
    return raw
