"""Commands ``bronzesill order ...``."""

from __future__ import annotations

from ..utils import ResultCode
from .context import Context
from .move_commands import ask_any
from .output import show, show_table

__all__ = ['list_orders', 'send']


async def send(context: Context) -> ResultCode:
    """Give a backend server an order."""
    options = context.options
    body = {
        'server': options.server,
        'kind': options.kind,
        'argument': options.argument,
        'reason': options.reason,
    }
    show(await ask_any(context, '/admin/orders', body), options.output)
    return ResultCode.DONE


async def list_orders(context: Context) -> ResultCode:
    """List the last order of each backend server."""
    reply = await ask_any(context, '/admin/orders', None)
    show_table(reply['orders'], context.options.output)
    return ResultCode.DONE
