"""Load of a soak beyond its usual traffic."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine

from ..standins.faulty_servers import FaultyServer
from ..utils import Address
from .callers import Traffic
from .load_configuration import BULK_ROUTE, UPLOAD_ROUTE, UPLOAD_SERVICE
from .observations import RequestKind
from .schedule import Event, EventKind

__all__ = [
    'BULK_RATE_PER_S',
    'EARLY_UPLOAD_SERVER',
    'LOAD_KINDS',
    'ODD_STATUS_SERVER',
    'Load',
]

LOAD_KINDS = frozenset(
    (
        EventKind.BULK_BURST,
        EventKind.REPEAT,
        EventKind.EARLY_ANSWERS,
        EventKind.ODD_STATUS,
    )
)
BULK_RATE_PER_S = 1.0
_BURST_RATE_PER_S = 20.0
_UPLOAD_RATE_PER_S = 8.0
#: Answers before it has read an upload, without a length.
EARLY_UPLOAD_SERVER = FaultyServer('uploads-1', UPLOAD_SERVICE, '200')
ODD_STATUS_SERVER = FaultyServer(
    'shop-9', 'shop', '000', 'Content-Length: 17\r\n'
)


class Load:
    """
    Applies the events that add load.

    :param traffic: sends the requests.
    :param store: address of the store.
    """

    def __init__(self, traffic: Traffic, store: Address) -> None:
        self._traffic = traffic
        self._store = store
        #: First and last time of each burst of bulk requests.
        self.bursts: list[tuple[float, float]] = []

    async def apply(self, event: Event) -> None:
        """Apply an event for its time."""
        match event.kind:
            case EventKind.BULK_BURST:
                await self._burst(event.for_s)
            case EventKind.REPEAT:
                self._traffic.repeat(BULK_ROUTE, event.for_s)
            case EventKind.EARLY_ANSWERS:
                sending = self._traffic.send_kind(
                    RequestKind.ORDER, _UPLOAD_RATE_PER_S, UPLOAD_ROUTE
                )
                serving = EARLY_UPLOAD_SERVER.serve(self._store, event.for_s)
                await _run_for(event.for_s, sending, serving)
            case _:
                await ODD_STATUS_SERVER.serve(self._store, event.for_s)

    async def _burst(self, for_s: float) -> None:
        began_at_s = time.monotonic()
        sending = self._traffic.send_kind(
            RequestKind.STREAM, _BURST_RATE_PER_S, BULK_ROUTE
        )
        await _run_for(for_s, sending)
        self.bursts.append((began_at_s, time.monotonic()))


async def _run_for(for_s: float, *work: Coroutine[None, None, None]) -> None:
    """Run some work and cancel what is not done after a time in seconds."""
    tasks = [asyncio.create_task(one) for one in work]
    await asyncio.sleep(for_s)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
