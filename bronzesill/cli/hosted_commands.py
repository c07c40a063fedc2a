"""Commands ``bronzesill status`` and ``bronzesill roll-out ...``."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from ..config import ListedServer
from ..moves import MOVE_PREFIX, MoveRecord, record_from_entry
from ..platform import (
    ALL_KEYS,
    CONFIGURATION_KEY,
    HOST_PREFIX,
    ORDER_PREFIX,
    SERVER_PREFIX,
    decode_order,
    decode_server,
    decode_status,
    fetch_engine_report,
    server_name,
    status_key,
)
from ..store import StoredEntry
from ..utils import ResultCode
from .context import Context
from .output import show, show_table

__all__ = ['list_roll_outs', 'show_roll_out', 'status']

_LEAVING = 'leaving'
_READY = 'ready'
_UNKNOWN = '?'


@dataclasses.dataclass(frozen=True)
class _Status:
    """Row per thing that the store knows of."""

    kind: str
    name: str
    state: str
    detail: str


@dataclasses.dataclass(frozen=True)
class _RollOut:
    """An order with what became of it."""

    service: str
    target: str
    window_s: float
    told: str
    share: str
    changed_by: str
    note: str


async def status(context: Context) -> ResultCode:
    """Show configuration, hosts and backend servers from the store."""
    found = await context.store.snapshot(ALL_KEYS, is_stale_fine=True)
    rows = [*_configuration(found.entries), *_hosts(found.entries)]
    rows.extend(await _servers(context, found.entries))
    show_table(rows, context.options.output)
    return ResultCode.DONE


async def list_roll_outs(context: Context) -> ResultCode:
    """List operators' orders to move traffic and what became of them."""
    show_table(await _roll_outs(context), context.options.output)
    return ResultCode.DONE


async def show_roll_out(context: Context) -> ResultCode:
    """Show one order with the record of its move."""
    wanted = context.options.service
    for row in await _roll_outs(context):
        if row.service == wanted:
            show(row, context.options.output)
            return ResultCode.DONE
    return ResultCode.MOVE_UNKNOWN


def _configuration(entries: tuple[StoredEntry, ...]) -> list[_Status]:
    return [
        _Status('configuration', entry.key, 'written', _revision(entry))
        for entry in entries
        if entry.key == CONFIGURATION_KEY
    ]


def _hosts(entries: tuple[StoredEntry, ...]) -> list[_Status]:
    return [
        _Status(
            'host',
            entry.key.removeprefix(HOST_PREFIX),
            'listed',
            _revision(entry),
        )
        for entry in entries
        if entry.key.startswith(HOST_PREFIX)
    ]


def _revision(entry: StoredEntry) -> str:
    return f'revision {entry.mod_revision}'


async def _servers(
    context: Context, entries: tuple[StoredEntry, ...]
) -> list[_Status]:
    listed_by_name = {
        server_name(entry.key): decode_server(entry.payload)
        for entry in entries
        if entry.key.startswith(SERVER_PREFIX)
    }
    rows = [
        _server(context, name, listed)
        for name, listed in listed_by_name.items()
    ]
    return list(await asyncio.gather(*rows))


async def _server(
    context: Context, name: str, listed: ListedServer | None
) -> _Status:
    if listed is None:
        return _Status('server', name, _UNKNOWN, 'entry not readable')
    server = listed.server
    age_s = time.time() - server.started_at_s
    detail = (
        f'{server.service} {server.version} in {server.failure_domain} '
        f'at {server.address}, up {age_s:.0f} s'
    )
    if context.options.reports:
        detail = f'{detail}, {await _load(context, listed)}'
    state = _LEAVING if listed.is_leaving else _READY
    return _Status('server', name, state, detail)


async def _load(context: Context, listed: ListedServer) -> str:
    report = await fetch_engine_report(context.session, listed.server.address)
    if report is None:
        return 'no report'
    return (
        f'{report.running} run, {report.waiting} wait, '
        f'{report.memory_used} of {report.memory_tokens} tokens'
    )


async def _roll_outs(context: Context) -> list[_RollOut]:
    store = context.store
    found = await store.snapshot(ALL_KEYS, is_stale_fine=False)
    entries_by_key = {entry.key: entry for entry in found.entries}
    return [
        _roll_out(entry, entries_by_key)
        for entry in found.entries
        if entry.key.startswith(ORDER_PREFIX)
    ]


def _roll_out(
    entry: StoredEntry, entries_by_key: dict[str, StoredEntry]
) -> _RollOut:
    order = decode_order(entry)
    if order is None:
        service = entry.key.removeprefix(ORDER_PREFIX)
        return _RollOut(service, _UNKNOWN, 0, 'not readable', '', '', '')
    told = entries_by_key.get(status_key(order.subject))
    kept = entries_by_key.get(f'{MOVE_PREFIX}{order.move_id}')
    record = record_from_entry(kept) if kept else None
    return _RollOut(
        service=order.subject,
        target=order.new_version,
        window_s=order.window_s,
        told=_told(told),
        share=f'{record.share:.0%}' if record else 'not begun',
        changed_by=record.changed_by if record else '',
        note=_note(record),
    )


def _told(entry: StoredEntry | None) -> str:
    status_now = decode_status(entry.payload) if entry else None
    if status_now is None:
        return 'nothing'
    if status_now.is_done:
        return 'done'
    return 'taken back' if status_now.is_taken_back else 'under way'


def _note(record: MoveRecord | None) -> str:
    return record.note or record.reason if record else ''
