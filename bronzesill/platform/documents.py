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
from ..utils import DocumentInvalid, hash_secret

__all__ = ['CONFIGURATION_KEY', 'decode_document']

#: Key of the current configuration in the key-value store.
CONFIGURATION_KEY = 'op/config'

_MS_PER_S = 1000
_DEFAULT_DEADLINE_MS = 60_000
_STREAMING = 'streaming'
_IDEMPOTENT = 'idempotent'

#: Exceptions raised when a document does not have the expected structure.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, AttributeError)


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
        return VersionedDocument(int(raw.get('version', 0)), document)
    except _DECODE_ERRORS as error:
        fault = f'invalid configuration: {error!r}'
        raise DocumentInvalid((fault,)) from error


def _decode_accounts(raw: list[Mapping[str, Any]]) -> dict[str, ClientAccount]:
    accounts: dict[str, ClientAccount] = {}
    for tenant in raw:
        digests = [hash_secret(key) for key in tenant.get('apiKeys', ())]
        first, *more = digests or ['']
        accounts[tenant['name']] = ClientAccount(
            key_sha256=first,
            more_keys_sha256=tuple(more),
            priority=tenant.get('priority'),
        )
    return accounts


def _decode_services(raw: list[Mapping[str, Any]]) -> dict[str, Service]:
    return {
        service['name']: Service(
            max_connections=int(service.get('maxConnections', 100)),
            engine=_decode_engine(service.get('inferenceEngine')),
            health_path=service.get('healthPath', ''),
        )
        for service in raw
    }


def _decode_engine(raw: Mapping[str, Any] | None) -> EngineCapabilities | None:
    if raw is None:
        return None
    return EngineCapabilities(
        slots=int(raw.get('slots', 1)),
        memory_tokens=int(raw.get('kvCapacity', 0)),
        keeps_copies=bool(raw.get('backups', False)),
        copy_ttl_s=float(raw.get('handleTtlS', 0)),
    )


def _decode_routes(raw: list[Mapping[str, Any]]) -> dict[str, Route]:
    return {route['name']: _decode_route(route) for route in raw}


def _decode_route(raw: Mapping[str, Any]) -> Route:
    is_stream = raw['routeType'] == _STREAMING
    weights = {
        backend['service']: float(backend['weight'])
        for backend in raw.get('backends', ())
    }
    # A stream may only be retried if it can be resumed at the event after
    # which it was interrupted.
    may_retry = (
        bool(raw.get('resumable', False))
        if is_stream
        else raw['routeType'] == _IDEMPOTENT
    )
    return Route(
        path=raw['prefix'],
        service=raw.get('service') or next(iter(weights)),
        idempotent=may_retry,
        deadline_s=_read_seconds(raw, 'timeoutMs', _DEFAULT_DEADLINE_MS),
        host=raw['host'],
        is_stream=is_stream,
        is_public=bool(raw.get('public', False)),
        max_attempts=int(raw.get('maxAttempts', 1)),
        # `itlTargetMs` is the longest pause between two events that counts
        # as on time, not a mean.
        max_pause_s=_read_seconds(raw, 'itlTargetMs', 0),
        target_latency_s=_read_seconds(raw, 'targetLatencyMs', 0),
        priority=int(raw.get('priority', 1)),
        weight_by_service=weights,
    )


def _decode_limits(raw: Mapping[str, Any]) -> Limits:
    defaults = Limits()
    head_s = _read_seconds(raw, 'headerTimeoutMs', 0) or defaults.head_timeout_s
    idle_s = _read_seconds(raw, 'idleTimeoutMs', 0) or defaults.idle_timeout_s
    return dataclasses.replace(
        defaults,
        max_body_bytes=int(raw.get('maxBodyBytes', defaults.max_body_bytes)),
        max_header_bytes=int(
            raw.get('maxHeaderBytes', defaults.max_header_bytes)
        ),
        head_timeout_s=head_s,
        idle_timeout_s=idle_s,
    )


def _read_seconds(
    raw: Mapping[str, Any], field: str, default_ms: float
) -> float:
    return float(raw.get(field) or default_ms) / _MS_PER_S
