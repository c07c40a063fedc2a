"""Controller of orders, with one writing daemon for each backend server."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable, Mapping

from ..config import BackendServer
from ..utils import BronzesillError, PartLogger
from .client import OrderClient, SendResult
from .decisions import ObservedServer, Step, WriterState, next_step
from .load_slots import LoadSlot
from .record import OrderRecord, OrderState, has_ended
from .repository import OrderRepository, StoredOrder

__all__ = ['OrdersController']

_TICK_S = 1.0
_TAKEOVER_DELAY_S = 10.0
_SLOT_TTL_S = 300.0
_MAX_CONCURRENT_LOADS = 4

_log = PartLogger('orders')


class OrdersController:
    """
    Executes the orders of which this daemon is the writer.

    :param repository: orders in the store.
    :param client: client for backend servers.
    :param find_servers: returns the backend servers of the active
        configuration, by name.
    :param is_writer: returns whether this daemon currently is the writer of
        a backend server.
    :param publish_order: publishes the server and the fencing number of an
        order to the other daemons.
    :param takeover_delay_s: seconds that a new writer waits before it sends
        to a server that does not check fencing numbers.
    :param max_concurrent_loads: maximum number of concurrent loads from the
        weight store.
    """

    def __init__(
        self,
        repository: OrderRepository,
        client: OrderClient,
        find_servers: Callable[[], Mapping[str, BackendServer]],
        is_writer: Callable[[str], bool],
        publish_order: Callable[[str, int], None],
        takeover_delay_s: float = _TAKEOVER_DELAY_S,
        max_concurrent_loads: int = _MAX_CONCURRENT_LOADS,
    ) -> None:
        self._repository = repository
        self._client = client
        self._find_servers = find_servers
        self._is_writer = is_writer
        self._publish_order = publish_order
        self._takeover_delay_s = takeover_delay_s
        self._max_concurrent_loads = max_concurrent_loads
        self._has_open_orders = asyncio.Event()
        self._writers_by_server: dict[str, WriterState] = {}

    async def run(self) -> None:
        """
        Process open orders periodically until cancelled.

        The store is read only while there may be open orders.
        """
        while True:
            await self._has_open_orders.wait()
            await asyncio.sleep(_TICK_S)
            try:
                await self.process_open_orders()
            except BronzesillError as error:
                _log.warning('cannot process open orders: %s', error)

    def note_open_orders(self) -> None:
        """Note that there may be open orders, so that the store is read."""
        self._has_open_orders.set()

    async def create(self, record: OrderRecord) -> OrderRecord:
        """
        Store an order of an operator and publish it to the other daemons.

        :param record: the order.
        :returns: the order with its fencing number.
        :raises BronzesillError: the server has an order that has not ended.
        """
        created = await self._repository.create(record)
        self._publish_order(created.server, created.fencing)
        return created

    async def list_records(self) -> tuple[OrderRecord, ...]:
        """Return the last order of each backend server, for an operator."""
        return tuple(stored.record for stored in await self._repository.list())

    async def process_open_orders(self) -> None:
        """Execute the next step of each open order of this writer."""
        stored_orders = await self._repository.list()
        open_orders = [
            stored for stored in stored_orders if not has_ended(stored.record)
        ]
        if not open_orders:
            self._has_open_orders.clear()
        for stored in open_orders:
            server = stored.record.server
            if self._is_writer(server):
                await self._execute_step(stored)
            else:
                self._writers_by_server.pop(server, None)

    async def _execute_step(self, stored: StoredOrder) -> None:
        record = stored.record
        server = self._find_servers().get(record.server)
        if server is None:
            await self._end(stored, OrderState.REFUSED, 'server is gone')
            return
        now_s = time.time()
        writer = self._writers_by_server.setdefault(
            record.server, WriterState(now_s)
        )
        observed = ObservedServer(
            server.checks_fencing,
            await self._client.is_in_effect(server.address, record),
        )
        returned_at_s = await self._repository.returned_at_s()
        step = next_step(
            record.as_known_after(returned_at_s),
            observed,
            writer,
            self._takeover_delay_s,
            now_s,
        )
        if step is Step.ACQUIRE_SLOT:
            await self._acquire_slot(record, writer, now_s)
        elif step is Step.SEND:
            await self._send(stored, server, writer)
        elif step is Step.FINISH:
            await self._end(stored, OrderState.DONE, 'read back')

    async def _acquire_slot(
        self, record: OrderRecord, writer: WriterState, now_s: float
    ) -> None:
        slot = LoadSlot(record.server, record.fencing, now_s + _SLOT_TTL_S)
        is_acquired = await self._repository.acquire_slot(
            slot, self._max_concurrent_loads, now_s
        )
        self._writers_by_server[record.server] = dataclasses.replace(
            writer, has_slot=is_acquired
        )

    async def _send(
        self, stored: StoredOrder, server: BackendServer, writer: WriterState
    ) -> None:
        record = stored.record
        if record.state is OrderState.PENDING:
            # Stored before sending, so that a later writer knows that the
            # order may have reached the server.
            sent = dataclasses.replace(record, state=OrderState.SENT)
            stored = await self._repository.change(stored, sent)
        self._writers_by_server[record.server] = dataclasses.replace(
            writer, sent_at_s=time.time()
        )
        outcome = await self._client.send(server.address, stored.record)
        _log.info('order to %s: %s', record.server, outcome.value)
        if outcome is SendResult.REFUSED:
            await self._end(stored, OrderState.REFUSED, 'old fencing number')

    async def _end(
        self, stored: StoredOrder, state: OrderState, note: str
    ) -> None:
        ended = dataclasses.replace(stored.record, state=state, note=note)
        await self._repository.change(stored, ended)
        self._writers_by_server.pop(stored.record.server, None)
        await self._repository.release_slot(stored.record.server, time.time())
