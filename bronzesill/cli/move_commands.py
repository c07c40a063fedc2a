"""Commands ``bronzesill move ...`` and ``bronzesill handover``."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from ..utils import BronzesillError, ResultCode
from .config_commands import list_daemons
from .context import Context
from .output import show, show_table

__all__ = [
    'call_any_daemon',
    'change',
    'create',
    'handover',
    'list_moves',
    'show_move',
    'wait',
]

_POLL_INTERVAL_S = 0.5
_OPEN_STATES = frozenset(('running', 'paused'))


async def create(context: Context) -> ResultCode:
    """Create a move of a subject's traffic to another version."""
    options = context.options
    body = {
        'move_id': options.move,
        'subject': options.subject,
        'old_version': options.old_version,
        'new_version': options.new_version,
        'deadline_in_s': options.deadline_in_s,
        'reason': options.reason,
    }
    show(await call_any_daemon(context, '/admin/moves', body), options.output)
    return ResultCode.DONE


async def list_moves(context: Context) -> ResultCode:
    """List all moves in the order in which they were created."""
    moves = await _fetch_moves(context)
    show_table([_move_row(move) for move in moves], context.options.output)
    return ResultCode.DONE


async def show_move(context: Context) -> ResultCode:
    """Show all fields of one move."""
    move = await _find_move(context)
    show(move, context.options.output)
    return ResultCode.DONE


async def change(context: Context) -> ResultCode:
    """Pause, resume, finish or take back a move."""
    options = context.options
    path = f'/admin/moves/{options.move}/{options.verb}'
    reply = await call_any_daemon(context, path, {'reason': options.reason})
    show(reply, options.output)
    return ResultCode.DONE


async def wait(context: Context) -> ResultCode:
    """Wait until a move is no longer running or paused."""
    while True:
        move = await _find_move(context)
        if move['state'] not in _OPEN_STATES:
            show_table([_move_row(move)], context.options.output)
            is_done = move['state'] == 'done'
            return ResultCode.DONE if is_done else ResultCode.MOVE_ENDED
        await asyncio.sleep(_POLL_INTERVAL_S)


async def handover(context: Context) -> ResultCode:
    """Show unfinished work with its owner, reason, deadline and outcome."""
    rows = [
        _handover_row(move)
        for move in await _fetch_moves(context)
        if move['state'] in _OPEN_STATES
    ]
    rows.extend(await _host_rows(context))
    show_table(rows, context.options.output)
    return ResultCode.DONE


async def _fetch_moves(context: Context) -> list[dict[str, Any]]:
    reply = await call_any_daemon(context, '/admin/moves', None)
    moves: list[dict[str, Any]] = reply['moves']
    return sorted(moves, key=lambda move: float(move['created_at_s']))


async def _find_move(context: Context) -> dict[str, Any]:
    for move in await _fetch_moves(context):
        if move['move_id'] == context.options.move:
            return move
    raise BronzesillError(
        ResultCode.MOVE_UNKNOWN, f'no move {context.options.move!r}'
    )


async def call_any_daemon(
    context: Context, path: str, body: Any
) -> dict[str, Any]:
    """
    Call the daemons of the settings in order until one responds.

    :param context: connections of the command.
    :param path: path below a daemon's address.
    :param body: JSON body of a ``POST``, none for a ``GET``.
    :returns: the JSON response.
    :raises BronzesillError: the daemon rejects the call, with the code of its
        response; ``PEER_UNAVAILABLE`` if no daemon responds.
    """
    for daemon in context.settings.daemons:
        reply = await context.call_daemon(daemon, path, body)
        if reply is None:
            continue
        error = reply.get('error')
        if error is None:
            return reply
        raise BronzesillError(ResultCode(int(error['code'])), error['message'])
    raise BronzesillError(
        ResultCode.PEER_UNAVAILABLE, 'no daemon in the settings responds'
    )


def _move_row(move: dict[str, Any]) -> dict[str, Any]:
    return {
        'move': move['move_id'],
        'subject': move['subject'],
        'from': move['old_version'],
        'to': move['new_version'],
        'state': move['state'],
        'share': f'{move["share"]:.0%}',
        'deadline': _format_time(move['deadline_at_s']),
        'by': move['operator'],
        'last change': f'{move["changed_by"]}: {move["note"]}',
    }


def _handover_row(move: dict[str, Any]) -> dict[str, Any]:
    left_s = move['deadline_at_s'] - time.time()
    outcome = 'continues automatically; taken back at the deadline unless done'
    if move['state'] == 'paused':
        outcome = 'paused: taken back at the deadline unless it is resumed'
    return {
        'work': f'move {move["move_id"]} at {move["share"]:.0%}',
        'by': move['operator'],
        'why': move['reason'],
        'until': f'{_format_time(move["deadline_at_s"])} ({left_s:.0f} s left)',
        'if nobody acts': outcome,
    }


async def _host_rows(context: Context) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for daemon in await list_daemons(context):
        status = await context.call_daemon(daemon, '/admin/status')
        if status is not None:
            rows.extend(_status_rows(status))
    return rows


def _status_rows(status: dict[str, Any]) -> list[dict[str, Any]]:
    rows = []
    if status['is_stopping']:
        rows.append(
            {
                'work': f'host {status["host"]} is stopping',
                'by': '-',
                'why': 'planned stop',
                'until': f'{status["generations"]} generations left',
                'if nobody acts': 'exits after the last generation ends',
            }
        )
    if status['rejected_revision'] > status['revision']:
        rows.append(
            {
                'work': f'revision {status["rejected_revision"]} rejected',
                'by': '-',
                'why': f'invalid on {status["host"]}',
                'until': '-',
                'if nobody acts': f'stays at revision {status["revision"]}',
            }
        )
    return rows


def _format_time(at_s: float) -> str:
    return time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(at_s))
