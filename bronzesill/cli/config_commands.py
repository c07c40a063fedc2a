"""Commands ``bronzesill config ...``."""

from __future__ import annotations

import asyncio
import difflib
import sys
import time
from pathlib import Path
from typing import Any

from ..config.overlay import build_document
from ..config.repository import ConfigChange, VersionedConfig
from ..config.revision import StoredConfig
from ..utils import Address, BronzesillError, DocumentInvalid, ResultCode
from .context import Context
from .output import show, show_table

__all__ = ['apply', 'diff', 'history', 'show_current', 'validate', 'wait']

_POLL_INTERVAL_S = 0.2


async def validate(context: Context) -> ResultCode:
    """Validate the files and list every fault with its path."""
    base, overlays = _read_files(context)
    return _validate_texts(base, overlays)


async def diff(context: Context) -> ResultCode:
    """Show the differences between the files and the stored configuration."""
    base, overlays = _read_files(context)
    stored = await context.repository.read()
    _print_diff(stored, base, overlays)
    return ResultCode.DONE


async def apply(context: Context) -> ResultCode:
    """Apply the files unless the configuration has changed concurrently."""
    base, overlays = _read_files(context)
    code = _validate_texts(base, overlays)
    if code is not ResultCode.DONE:
        return code
    stored = await context.repository.read()
    overlays = {**(stored.config.overlays if stored else {}), **overlays}
    _check_expected_revision(context, stored, base, overlays)
    if context.options.dry_run:
        _print_diff(stored, base, overlays)
        return ResultCode.DONE
    change = ConfigChange(
        base=base,
        overlays=overlays,
        operator=context.settings.operator,
        reason=context.options.reason,
        at_s=time.time(),
    )
    highest_in_force = await _highest_revision_in_force(context)
    config = await _apply_or_show_conflict(
        context, stored, change, highest_in_force
    )
    print(f'revision {config.number} accepted')
    if context.options.wait:
        return await _wait_until_in_force(context, config.number)
    return ResultCode.DONE


async def show_current(context: Context) -> ResultCode:
    """Show the stored configuration."""
    stored = await context.repository.read()
    if stored is None:
        print('no configuration yet')
        return ResultCode.NOT_READY
    show(stored.config, context.options.output)
    return ResultCode.DONE


async def history(context: Context) -> ResultCode:
    """List the stored revisions of the configuration."""
    rows = [
        {
            'revision': config.number,
            'applied_at': time.strftime(
                '%Y-%m-%d %H:%M:%S', time.localtime(config.applied_at_s)
            ),
            'operator': config.operator,
            'reason': config.reason,
        }
        for config in await context.repository.history()
    ]
    show_table(rows, context.options.output)
    return ResultCode.DONE


async def wait(context: Context) -> ResultCode:
    """Wait until a revision is in force on all daemons."""
    number = context.options.revision
    if number is None:
        stored = await context.repository.read()
        number = stored.config.number if stored else 0
    return await _wait_until_in_force(context, number)


def _read_files(context: Context) -> tuple[str, dict[str, str]]:
    base = Path(context.options.base).read_text()
    overlays = {}
    for pair in context.options.overlay:
        site, path = pair.split('=', 1)
        overlays[site] = Path(path).read_text()
    return base, overlays


def _validate_texts(base: str, overlays: dict[str, str]) -> ResultCode:
    faults: list[str] = []
    checked = overlays or {'': ''}
    for site, overlay in checked.items():
        try:
            build_document(base, overlay)
        except DocumentInvalid as error:
            faults.extend(f'site {site}: {fault}' for fault in error.faults)
    for fault in faults:
        sys.stderr.write(f'{fault}\n')
    return ResultCode.DOCUMENT_INVALID if faults else ResultCode.DONE


def _check_expected_revision(
    context: Context,
    stored: VersionedConfig | None,
    base: str,
    overlays: dict[str, str],
) -> None:
    expected = context.options.expect
    current = stored.config.number if stored else 0
    if expected is None or expected == current:
        return
    _print_diff(stored, base, overlays)
    raise BronzesillError(
        ResultCode.REVISION_CONFLICT,
        f'not applied: current revision is {current}, expected {expected}',
    )


async def _apply_or_show_conflict(
    context: Context,
    stored: VersionedConfig | None,
    change: ConfigChange,
    highest_in_force: int,
) -> StoredConfig:
    try:
        return await context.repository.apply(stored, change, highest_in_force)
    except BronzesillError as error:
        if error.code is ResultCode.REVISION_CONFLICT:
            newest = await context.repository.read()
            print('changes applied by another operator in the meantime:')
            if stored is not None and newest is not None:
                _print_diff(stored, newest.config.base, newest.config.overlays)
        raise


def _print_diff(
    stored: VersionedConfig | None, base: str, overlays: dict[str, str]
) -> None:
    old_overlays = stored.config.overlays if stored else {}
    pairs = [('base', stored.config.base if stored else '', base)]
    pairs.extend(
        (site, old_overlays.get(site, ''), text)
        for site, text in overlays.items()
    )
    for label, before, after in pairs:
        lines = difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            f'{label} (in the store)',
            f'{label} (new)',
            lineterm='',
        )
        for line in lines:
            print(line)


async def _fetch_statuses(context: Context) -> dict[Address, Any]:
    daemons = await list_daemons(context)
    replies = await asyncio.gather(
        *(context.call_daemon(daemon, '/admin/status') for daemon in daemons)
    )
    return dict(zip(daemons, replies, strict=True))


async def list_daemons(context: Context) -> tuple[Address, ...]:
    """
    Return the sorted addresses of all known daemons.

    These are the daemons of the settings and the members that they report.
    Daemons that do not respond are included if they are in the settings.
    """
    addresses = set(context.settings.daemons)
    for daemon in context.settings.daemons:
        reply = await context.call_daemon(daemon, '/admin/members')
        if reply is not None:
            addresses.update(
                Address.from_text(member['callers'])
                for member in reply.get('members', ())
            )
    return tuple(sorted(addresses))


async def _highest_revision_in_force(context: Context) -> int:
    statuses = await _fetch_statuses(context)
    return max(
        (status['revision'] for status in statuses.values() if status),
        default=0,
    )


async def _wait_until_in_force(context: Context, number: int) -> ResultCode:
    started_s = time.monotonic()
    deadline_s = started_s + context.options.timeout_s
    while True:
        statuses = await _fetch_statuses(context)
        lagging = [
            str(daemon)
            for daemon, status in statuses.items()
            if status is None or status['revision'] < number
        ]
        elapsed_s = time.monotonic() - started_s
        if not lagging:
            print(
                f'revision {number} in force on {len(statuses)} daemons '
                f'after {elapsed_s:.2f} s'
            )
            return ResultCode.DONE
        if time.monotonic() > deadline_s:
            print(f'not yet in force on: {", ".join(lagging)}')
            return ResultCode.NOT_IN_FORCE
        await asyncio.sleep(_POLL_INTERVAL_S)
