"""The operators' configuration on the platform as a document of our own."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

import orjson

from ..config import (
    ClientAccount,
    Document,
    EngineTraits,
    Limits,
    Route,
    Service,
)
from ..utils import DocumentInvalid, hash_secret

__all__ = ['CONFIGURATION_KEY', 'decode_document']

#: Key of the newest configuration.
CONFIGURATION_KEY = 'op/config'

_MS_PER_S = 1000
_DEFAULT_DEADLINE_MS = 60_000
_STREAMING = 'streaming'
_IDEMPOTENT = 'idempotent'

#: What decoding a document of another shape raises.
_UNREADABLE = (ValueError, TypeError, LookupError, AttributeError)


def decode_document(payload: bytes) -> Document:
    """
    Decode a configuration.

    :param payload: JSON text as operators write it.
    :raises DocumentInvalid: it is not a configuration.
    """
    try:
        raw = orjson.loads(payload)
        return Document(
            accounts=_accounts(raw.get('tenants', ())),
            models={},
            servers={},
            services=_services(raw.get('services', ())),
            routes=_routes(raw.get('routes', ())),
            limits=_limits(raw.get('limits', {})),
            has_accounts='tenants' in raw,
        )
    except _UNREADABLE as error:
        fault = f'not a configuration: {error!r}'
        raise DocumentInvalid((fault,)) from error


def _accounts(raw: list[Mapping[str, Any]]) -> dict[str, ClientAccount]:
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


def _services(raw: list[Mapping[str, Any]]) -> dict[str, Service]:
    return {
        service['name']: Service(
            max_connections=int(service.get('maxConnections', 100)),
            engine=_engine(service.get('inferenceEngine')),
            health_path=service.get('healthPath', ''),
        )
        for service in raw
    }


def _engine(raw: Mapping[str, Any] | None) -> EngineTraits | None:
    if raw is None:
        return None
    return EngineTraits(
        slots=int(raw.get('slots', 1)),
        memory_tokens=int(raw.get('kvCapacity', 0)),
        keeps_copies=bool(raw.get('backups', False)),
        copy_ttl_s=float(raw.get('handleTtlS', 0)),
    )


def _routes(raw: list[Mapping[str, Any]]) -> dict[str, Route]:
    return {route['name']: _route(route) for route in raw}


def _route(raw: Mapping[str, Any]) -> Route:
    is_stream = raw['routeType'] == _STREAMING
    weights = {
        backend['service']: float(backend['weight'])
        for backend in raw.get('backends', ())
    }
    # A stream is repeated by going on where it broke off, or not at all.
    may_repeat = (
        bool(raw.get('resumable', False))
        if is_stream
        else raw['routeType'] == _IDEMPOTENT
    )
    return Route(
        path=raw['prefix'],
        service=raw.get('service') or next(iter(weights)),
        idempotent=may_repeat,
        deadline_s=_seconds(raw, 'timeoutMs', _DEFAULT_DEADLINE_MS),
        host=raw['host'],
        is_stream=is_stream,
        is_public=bool(raw.get('public', False)),
        max_attempts=int(raw.get('maxAttempts', 1)),
        # `itlTargetMs` is the longest punctual pause, not a mean.
        max_pause_s=_seconds(raw, 'itlTargetMs', 0),
        target_latency_s=_seconds(raw, 'targetLatencyMs', 0),
        priority=int(raw.get('priority', 1)),
        weight_by_service=weights,
    )


def _limits(raw: Mapping[str, Any]) -> Limits:
    defaults = Limits()
    head_s = _seconds(raw, 'headerTimeoutMs', 0) or defaults.head_timeout_s
    idle_s = _seconds(raw, 'idleTimeoutMs', 0) or defaults.idle_timeout_s
    return dataclasses.replace(
        defaults,
        max_body_bytes=int(raw.get('maxBodyBytes', defaults.max_body_bytes)),
        max_header_bytes=int(
            raw.get('maxHeaderBytes', defaults.max_header_bytes)
        ),
        head_timeout_s=head_s,
        idle_timeout_s=idle_s,
    )


def _seconds(raw: Mapping[str, Any], field: str, default_ms: float) -> float:
    return float(raw.get(field) or default_ms) / _MS_PER_S
