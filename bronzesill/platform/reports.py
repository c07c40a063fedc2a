"""Decoding of engine reports and prompt cache events on the platform."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import orjson

from ..upstream import InvalidAnswer, require_answer_status
from ..upstream.reports import CacheEvent, CacheEvents, EngineReport, RunReport
from ..utils import Address, read_flag, read_integer, read_number

__all__ = [
    'decode_cache_events',
    'decode_engine_report',
    'fetch_engine_report',
]

_MS_PER_S = 1000
_CALL_TIMEOUT_S = 1.0
_KEPT_SIGN = '+'

#: Exceptions raised when a report does not have the expected structure.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, AttributeError)


async def fetch_engine_report(
    session: aiohttp.ClientSession, address: Address
) -> EngineReport | None:
    """
    Fetch the report of an engine.

    :param session: HTTP session, owned by the caller.
    :param address: address of the engine.
    :returns: the report, none if the engine does not respond in time or the
        report cannot be decoded.
    """
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    url = f'{address.url}/v1/report'
    try:
        async with session.get(url, timeout=timeout) as response:
            require_answer_status(response.status)
            return decode_engine_report(await response.read())
    except (aiohttp.ClientError, InvalidAnswer, TimeoutError):
        return None


def decode_engine_report(payload: bytes) -> EngineReport | None:
    """Decode an engine report; return none if it is malformed."""
    try:
        return _decode_report(orjson.loads(payload))
    except _DECODE_ERRORS:
        return None


def decode_cache_events(payload: bytes) -> CacheEvents | None:
    """Decode prompt cache events; return none if they are malformed."""
    try:
        raw = orjson.loads(payload)
        return CacheEvents(
            epoch=read_integer(raw['epoch']),
            next_number=read_integer(raw['next']),
            has_gap=read_flag(raw['lost']),
            events=tuple(_decode_cache_event(row) for row in raw['events']),
        )
    except _DECODE_ERRORS:
        return None


def _decode_report(raw: Mapping[str, Any]) -> EngineReport:
    leaves_ms = raw.get('leaves_ms')
    return EngineReport(
        running=read_integer(raw['active']),
        waiting=read_integer(raw['queued']),
        # `kvUsed` counts only tokens that cannot be evicted for other
        # requests.
        memory_used=read_integer(raw['kvUsed']),
        memory_tokens=read_integer(raw['kvTotal']),
        # `busy` means that the engine carries out an order; it is independent
        # of the requests that run.
        is_executing_order=read_flag(raw.get('busy', False)),
        orders=read_integer(raw.get('sequence', 0)),
        started_at_s=read_integer(raw.get('born') or 0) / _MS_PER_S,
        leaves_in_s=(
            None if leaves_ms is None else read_number(leaves_ms) / _MS_PER_S
        ),
        runs=tuple(_decode_run(row) for row in raw.get('runs', ())),
    )


def _decode_run(row: Sequence[Any]) -> RunReport:
    run_id, memory_tokens, events, priority = row
    return RunReport(
        _read_text(run_id),
        read_integer(memory_tokens),
        read_integer(events),
        read_integer(priority),
    )


def _decode_cache_event(row: Sequence[Any]) -> CacheEvent:
    # The third field of a row is always empty.
    number, sign, _, *rest = row
    part, tokens, model = rest
    return CacheEvent(
        read_integer(number),
        sign == _KEPT_SIGN,
        _read_text(part),
        read_integer(tokens),
        _read_text(model),
    )


def _read_text(raw: object) -> str:
    if not isinstance(raw, str):
        raise ValueError(f'expected text, got {type(raw).__name__}')
    return raw
