"""Reports of workers on the platform and events of their caches."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import orjson

from ..upstream import CacheEvent, CacheEvents, EngineReport, RunReport
from ..utils import Address

__all__ = [
    'decode_cache_events',
    'decode_engine_report',
    'fetch_engine_report',
]

_MS_PER_S = 1000
_TIMEOUT_S = 1.0
_KEPT = '+'

#: What decoding a report of another shape raises.
_UNREADABLE = (ValueError, TypeError, LookupError, AttributeError)


async def fetch_engine_report(
    session: aiohttp.ClientSession, address: Address
) -> EngineReport | None:
    """
    Ask a worker for its report.

    :returns: the report, none if the worker gives no readable one.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    url = f'{address.url}/v1/report'
    try:
        async with session.get(url, timeout=timeout) as response:
            return decode_engine_report(await response.read())
    except (aiohttp.ClientError, TimeoutError):
        return None


def decode_engine_report(payload: bytes) -> EngineReport | None:
    """Decode a report, none if it cannot be read."""
    try:
        return _report(orjson.loads(payload))
    except _UNREADABLE:
        return None


def decode_cache_events(payload: bytes) -> CacheEvents | None:
    """Decode events of a cache, none if they cannot be read."""
    try:
        raw = orjson.loads(payload)
        return CacheEvents(
            epoch=int(raw['epoch']),
            next_number=int(raw['next']),
            is_gap=bool(raw['lost']),
            events=tuple(_cache_event(row) for row in raw['events']),
        )
    except _UNREADABLE:
        return None


def _report(raw: Mapping[str, Any]) -> EngineReport:
    leaves_ms = raw.get('leaves_ms')
    return EngineReport(
        running=int(raw['active']),
        waiting=int(raw['queued']),
        # `kvUsed` counts only what cannot yield to other requests.
        memory_used=int(raw['kvUsed']),
        memory_tokens=int(raw['kvTotal']),
        # `busy` is about orders, not about requests.
        is_ordered=bool(raw.get('busy', False)),
        orders=int(raw.get('sequence', 0)),
        started_at_s=int(raw.get('born') or 0) / _MS_PER_S,
        leaves_in_s=None if leaves_ms is None else leaves_ms / _MS_PER_S,
        runs=tuple(_run(row) for row in raw.get('runs', ())),
    )


def _run(row: Sequence[Any]) -> RunReport:
    run_id, memory_tokens, events, priority = row
    return RunReport(
        str(run_id), int(memory_tokens), int(events), int(priority)
    )


def _cache_event(row: Sequence[Any]) -> CacheEvent:
    # The third text of a row is always empty.
    number, sign, _, *kept = row
    part, tokens, model = kept
    return CacheEvent(
        int(number), sign == _KEPT, str(part), int(tokens), str(model)
    )
