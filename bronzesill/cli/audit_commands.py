"""Command ``bronzesill audit``."""

from __future__ import annotations

import time

from ..audit import read_trail
from ..utils import ResultCode
from .context import Context
from .output import show_table

__all__ = ['audit']


async def audit(context: Context) -> ResultCode:
    """List recorded changes with their time, operator, subject and reason."""
    entries = await read_trail(context.store)
    rows = [
        {
            'at': time.strftime(
                '%Y-%m-%d %H:%M:%S', time.localtime(entry.at_s)
            ),
            'operator': entry.operator,
            'action': entry.action,
            'subject': entry.subject,
            'from': entry.before,
            'to': entry.after,
            'reason': entry.reason,
        }
        for entry in entries[-context.options.last :]
    ]
    show_table(rows, context.options.output)
    return ResultCode.DONE
