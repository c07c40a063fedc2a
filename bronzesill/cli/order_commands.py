"""Commands ``bronzesill order ...``."""

from __future__ import annotations

from ..utils import ResultCode
from .context import Context
from .move_commands import call_any_daemon
from .output import show, show_table

__all__ = ['list_orders', 'send']


async def send(context: Context) -> ResultCode:
    """Send an order to a backend server."""
    options = context.options
    body = {
        'server': options.server,
        'kind': options.kind,
        'argument': options.argument,
        'reason': options.reason,
    }
    show(await call_any_daemon(context, '/admin/orders', body), options.output)
    return ResultCode.DONE


async def list_orders(context: Context) -> ResultCode:
    """List the most recent order of each backend server."""
    reply = await call_any_daemon(context, '/admin/orders', None)
    show_table(reply['orders'], context.options.output)
    return ResultCode.DONE
