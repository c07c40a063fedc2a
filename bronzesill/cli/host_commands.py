"""Commands ``bronzesill host ...``, ``server ...`` and ``key``."""

from __future__ import annotations

import secrets

from ..utils import Address, ResultCode, hash_secret
from .config_commands import list_daemons
from .context import Context
from .output import show, show_table

__all__ = ['drain', 'drain_server', 'list_hosts', 'make_key']


async def list_hosts(context: Context) -> ResultCode:
    """List all daemons with their state."""
    rows = []
    for daemon in await list_daemons(context):
        status = await context.call_daemon(daemon, '/admin/status')
        rows.append({'address': str(daemon), **(status or {'host': '?'})})
    rows.sort(key=len, reverse=True)
    responding = [row for row in rows if len(row) == len(rows[0])]
    show_table(responding, context.options.output)
    for row in rows[len(responding) :]:
        print(f'{row["address"]} does not respond')
    return ResultCode.DONE


async def drain(context: Context) -> ResultCode:
    """Start the planned stop of one daemon."""
    daemon = Address.from_text(context.options.address)
    reply = await context.call_daemon(daemon, '/admin/drain', {})
    if reply is None:
        print(f'{daemon} does not respond')
        return ResultCode.PEER_UNAVAILABLE
    show(reply, context.options.output)
    return ResultCode.DONE


async def drain_server(context: Context) -> ResultCode:
    """Stop or resume sending new work to a backend server."""
    options = context.options
    action = 'leaving' if options.verb == 'drain' else 'back'
    path = f'/admin/servers/{options.server}/{action}'
    for daemon in context.settings.daemons:
        reply = await context.call_daemon(daemon, path, {})
        if reply is not None:
            show(reply, options.output)
            return ResultCode.DONE
    return ResultCode.PEER_UNAVAILABLE


async def make_key(context: Context) -> ResultCode:
    """Generate a key; only its hash is entered into the configuration."""
    key = f'bz-{secrets.token_urlsafe(24)}'
    show({'key': key, 'key_sha256': hash_secret(key)}, context.options.output)
    return ResultCode.DONE
