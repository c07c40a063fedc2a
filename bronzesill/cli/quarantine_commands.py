"""Commands ``bronzesill quarantine ...``."""

from __future__ import annotations

import dataclasses
import time

from ..quarantine import QUARANTINE_PREFIX, record_from_entry
from ..utils import ResultCode
from .context import Context
from .output import show_table

__all__ = ['lift_block', 'list_blocks']


@dataclasses.dataclass(frozen=True)
class _SuspectRow:
    """Request, or part of a prompt, that servers crashed on."""

    suspect: str
    state: str
    remaining_s: float
    together_with: str


async def list_blocks(context: Context) -> ResultCode:
    """List the requests and parts of prompts that are, or were, refused."""
    now_s = time.time()
    entries = await context.store.list(QUARANTINE_PREFIX)
    rows = [
        _SuspectRow(
            record.suspect,
            'refused' if record.remaining_s(now_s) else 'allowed',
            round(record.remaining_s(now_s)),
            ','.join(sorted(record.companions)),
        )
        for record in map(record_from_entry, entries)
        if record is not None
    ]
    show_table(rows, context.options.output)
    return ResultCode.DONE


async def lift_block(context: Context) -> ResultCode:
    """Allow such requests again; all hosts follow in seconds."""
    key = f'{QUARANTINE_PREFIX}{context.options.suspect}'
    entry = await context.store.get(key)
    record = record_from_entry(entry) if entry else None
    if entry is None or record is None:
        return ResultCode.REQUEST_UNKNOWN
    lifted = record.lifted(time.time())
    revision = await context.store.compare_and_swap(
        key, entry.revision, (lifted.to_mutation(),)
    )
    return ResultCode.REVISION_CONFLICT if revision is None else ResultCode.DONE
