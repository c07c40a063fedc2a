"""Commands ``bronzesill status`` and ``bronzesill roll-out ...``."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time

import orjson

from ..config import RegisteredServer
from ..membership import Member
from ..moves import (
    MOVE_PREFIX,
    MoveRecord,
    find_move_id,
    record_from_entry,
)
from ..platform.documents import CONFIGURATION_KEY
from ..platform.reports import fetch_engine_report
from ..platform.rollouts import (
    ORDER_PREFIX,
    decode_order,
    decode_status,
    status_key,
)
from ..platform.servers import (
    HOST_PREFIX,
    SERVER_PREFIX,
    decode_server,
    server_name,
)
from ..platform.settings import METRICS_PORT
from ..platform.store import ALL_KEYS
from ..store import ERA_PREFIX, StoredEntry
from ..utils import Address, DocumentInvalid, ResultCode, structure
from .context import Context
from .output import show, show_table
from .service_rows import fetch_service_rows

__all__ = ['list_roll_outs', 'metrics_addresses', 'show_roll_out', 'status']

_LEAVING = 'leaving'
_READY = 'ready'
_UNKNOWN = '?'


@dataclasses.dataclass(frozen=True)
class _StatusRow:
    """Row of the status table: the configuration, a host or a server."""

    kind: str
    name: str
    state: str
    detail: str


@dataclasses.dataclass(frozen=True)
class _RollOutRow:
    """Order of an operator with the published status and the move's record."""

    service: str
    target: str
    window_s: float
    told: str
    share: str
    changed_by: str
    note: str


async def status(context: Context) -> ResultCode:
    """Show the store's configuration, hosts and servers, and the services."""
    snapshot = await context.store.snapshot(ALL_KEYS, may_be_stale=True)
    rows = [
        *_era_rows(snapshot.entries),
        *_configuration_rows(snapshot.entries),
        *_host_rows(snapshot.entries),
    ]
    rows.extend(await _service_rows(context, snapshot.entries))
    rows.extend(await _server_rows(context, snapshot.entries))
    show_table(rows, context.options.output)
    return ResultCode.DONE


async def list_roll_outs(context: Context) -> ResultCode:
    """List operators' orders to move traffic with their status."""
    show_table(await _roll_out_rows(context), context.options.output)
    return ResultCode.DONE


async def show_roll_out(context: Context) -> ResultCode:
    """Show the order for one service with its status."""
    service = context.options.service
    for row in await _roll_out_rows(context):
        if row.service == service:
            show(row, context.options.output)
            return ResultCode.DONE
    return ResultCode.MOVE_UNKNOWN


def metrics_addresses(entries: tuple[StoredEntry, ...]) -> list[Address]:
    """
    Return the usual addresses of the pages of metrics of all listed hosts.

    :param entries: entries of the store.
    """
    addresses = []
    for entry in entries:
        if entry.key.startswith(HOST_PREFIX):
            with contextlib.suppress(DocumentInvalid, ValueError):
                host = structure(orjson.loads(entry.payload), Member)
                addresses.append(Address(host.peers.ip, METRICS_PORT))
    return addresses


def _era_rows(entries: tuple[StoredEntry, ...]) -> list[_StatusRow]:
    marks = [entry for entry in entries if entry.key.startswith(ERA_PREFIX)]
    if not marks:
        return []
    latest = max(marks, key=lambda entry: entry.key)
    name = latest.key.removeprefix(ERA_PREFIX)
    seen_at_s = orjson.loads(latest.payload).get('seen_at_s', 0)
    age_s = time.time() - seen_at_s
    return [
        _StatusRow('store', 'era', str(int(name)), f'known for {age_s:.0f} s')
    ]


def _configuration_rows(entries: tuple[StoredEntry, ...]) -> list[_StatusRow]:
    return [
        _StatusRow(
            'configuration', entry.key, 'written', _describe_revision(entry)
        )
        for entry in entries
        if entry.key == CONFIGURATION_KEY
    ]


def _host_rows(entries: tuple[StoredEntry, ...]) -> list[_StatusRow]:
    return [
        _StatusRow(
            'host',
            entry.key.removeprefix(HOST_PREFIX),
            'listed',
            _describe_revision(entry),
        )
        for entry in entries
        if entry.key.startswith(HOST_PREFIX)
    ]


async def _service_rows(
    context: Context, entries: tuple[StoredEntry, ...]
) -> list[_StatusRow]:
    pages = context.settings.metrics or metrics_addresses(entries)
    return [
        _StatusRow(
            'service',
            row.service,
            f'{row.servers} servers',
            f'{row.detail} (as {row.hosts} hosts see it)',
        )
        for row in await fetch_service_rows(context.session, pages)
    ]


def _describe_revision(entry: StoredEntry) -> str:
    return f'revision {entry.revision}'


async def _server_rows(
    context: Context, entries: tuple[StoredEntry, ...]
) -> list[_StatusRow]:
    listed_by_name = {
        server_name(entry.key): decode_server(entry.payload)
        for entry in entries
        if entry.key.startswith(SERVER_PREFIX)
    }
    rows = [
        _server_row(context, name, listed)
        for name, listed in listed_by_name.items()
    ]
    return list(await asyncio.gather(*rows))


async def _server_row(
    context: Context, name: str, listed: RegisteredServer | None
) -> _StatusRow:
    if listed is None:
        return _StatusRow('server', name, _UNKNOWN, 'malformed entry')
    server = listed.server
    age_s = time.time() - server.started_at_s
    detail = (
        f'{server.service} {server.version} in {server.failure_domain} '
        f'at {server.address}, up {age_s:.0f} s'
    )
    if context.options.reports:
        detail = f'{detail}, {await _describe_load(context, listed)}'
    state = _LEAVING if listed.is_leaving else _READY
    return _StatusRow('server', name, state, detail)


async def _describe_load(context: Context, listed: RegisteredServer) -> str:
    report = await fetch_engine_report(context.session, listed.server.address)
    if report is None:
        return 'no report'
    return (
        f'{report.running} running, {report.waiting} waiting, '
        f'{report.memory_used} of {report.memory_tokens} tokens'
    )


async def _roll_out_rows(context: Context) -> list[_RollOutRow]:
    store = context.store
    snapshot = await store.snapshot(ALL_KEYS, may_be_stale=False)
    entries_by_key = {entry.key: entry for entry in snapshot.entries}
    records = tuple(
        record
        for entry in snapshot.entries
        if entry.key.startswith(MOVE_PREFIX)
        and (record := record_from_entry(entry)) is not None
    )
    return [
        _roll_out_row(entry, entries_by_key, records)
        for entry in snapshot.entries
        if entry.key.startswith(ORDER_PREFIX)
    ]


def _roll_out_row(
    entry: StoredEntry,
    entries_by_key: dict[str, StoredEntry],
    records: tuple[MoveRecord, ...],
) -> _RollOutRow:
    order = decode_order(entry, may_be_repeated=True)
    if order is None:
        service = entry.key.removeprefix(ORDER_PREFIX)
        return _RollOutRow(service, _UNKNOWN, 0, 'not readable', '', '', '')
    status_entry = entries_by_key.get(status_key(order.subject))
    move_id = find_move_id(order, records)
    record = next(
        (known for known in records if known.move_id == move_id), None
    )
    return _RollOutRow(
        service=order.subject,
        target=order.new_version,
        window_s=order.window_s,
        told=_describe_status(status_entry),
        share=f'{record.share:.0%}' if record else 'not begun',
        changed_by=record.changed_by if record else '',
        note=_note(record),
    )


def _describe_status(entry: StoredEntry | None) -> str:
    order_status = decode_status(entry.payload) if entry else None
    if order_status is None:
        return 'nothing'
    if order_status.is_done:
        return 'done'
    return 'taken back' if order_status.is_taken_back else 'under way'


def _note(record: MoveRecord | None) -> str:
    return record.note or record.reason if record else ''
