"""Controller of orders: one writer for each backend server."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable, Mapping

from ..config import BackendServer
from ..utils import BronzesillError, PartLogger
from .budget import LoadSlot
from .client import OrderClient, SendResult
from .decisions import ServerSight, Step, WriterState, next_step
from .record import OrderRecord, OrderState, has_ended
from .repository import HeldOrder, OrderRepository

__all__ = ['OrdersController']

_TICK_S = 1.0
_QUIET_S = 10.0
_SLOT_S = 300.0
_LOADS_AT_ONCE = 4

_log = PartLogger('orders')


class OrdersController:
    """
    Sends the orders for which this daemon is the writer.

    :param repository: orders in the store.
    :param client: client for backend servers.
    :param find_servers: backend servers of the configuration in force.
    :param is_writer: whether this daemon writes to a server now.
    :param spread: tells the other daemons of an order.
    :param quiet_s: seconds that a new writer stays quiet.
    :param loads_at_once: loads from the weight store at once.
    """

    def __init__(
        self,
        repository: OrderRepository,
        client: OrderClient,
        find_servers: Callable[[], Mapping[str, BackendServer]],
        is_writer: Callable[[str], bool],
        spread: Callable[[str, int], None],
        quiet_s: float = _QUIET_S,
        loads_at_once: int = _LOADS_AT_ONCE,
    ) -> None:
        self._repository = repository
        self._client = client
        self._find_servers = find_servers
        self._is_writer = is_writer
        self._spread = spread
        self._quiet_s = quiet_s
        self._loads_at_once = loads_at_once
        self._has_open_orders = asyncio.Event()
        self._writers_by_server: dict[str, WriterState] = {}

    async def run(self) -> None:
        """Send what is due, for ever; read the store only if need be."""
        while True:
            await self._has_open_orders.wait()
            await asyncio.sleep(_TICK_S)
            try:
                await self.send_due()
            except BronzesillError as error:
                _log.warning('%s', error)

    def look(self) -> None:
        """Take word that there may be open orders."""
        self._has_open_orders.set()

    async def create(self, record: OrderRecord) -> OrderRecord:
        """Record an order for an operator."""
        created = await self._repository.create(record)
        self._spread(created.server, created.fencing)
        return created

    async def list_records(self) -> tuple[OrderRecord, ...]:
        """Read all orders for an operator."""
        return tuple(held.record for held in await self._repository.list())

    async def send_due(self) -> None:
        """Do the next step of each open order that this daemon writes."""
        held_orders = await self._repository.list()
        opened = [held for held in held_orders if not has_ended(held.record)]
        if not opened:
            self._has_open_orders.clear()
        for held in opened:
            server = held.record.server
            if self._is_writer(server):
                await self._step(held)
            else:
                self._writers_by_server.pop(server, None)

    async def _step(self, held: HeldOrder) -> None:
        record = held.record
        server = self._find_servers().get(record.server)
        if server is None:
            await self._end(held, OrderState.REFUSED, 'server is gone')
            return
        now_s = time.time()
        writer = self._writers_by_server.setdefault(
            record.server, WriterState(now_s)
        )
        sight = ServerSight(
            server.checks_fencing,
            await self._client.is_in_effect(server.address, record),
        )
        step = next_step(record, sight, writer, self._quiet_s, now_s)
        if step is Step.TAKE_SLOT:
            await self._take_slot(record, writer, now_s)
        elif step is Step.SEND:
            await self._send(held, server, writer)
        elif step is Step.FINISH:
            await self._end(held, OrderState.DONE, 'read back')

    async def _take_slot(
        self, record: OrderRecord, writer: WriterState, now_s: float
    ) -> None:
        slot = LoadSlot(record.server, record.fencing, now_s + _SLOT_S)
        taken = await self._repository.take_slot(
            slot, self._loads_at_once, now_s
        )
        self._writers_by_server[record.server] = dataclasses.replace(
            writer, has_slot=taken
        )

    async def _send(
        self, held: HeldOrder, server: BackendServer, writer: WriterState
    ) -> None:
        record = held.record
        if record.state is OrderState.PENDING:
            # Recorded before it is sent: a later writer knows it may be out.
            sent = dataclasses.replace(record, state=OrderState.SENT)
            held = await self._repository.change(held, sent)
        self._writers_by_server[record.server] = dataclasses.replace(
            writer, sent_at_s=time.time()
        )
        outcome = await self._client.send(server.address, held.record)
        _log.info('order to %s: %s', record.server, outcome.value)
        if outcome is SendResult.REFUSED:
            await self._end(held, OrderState.REFUSED, 'old fencing number')

    async def _end(self, held: HeldOrder, state: OrderState, note: str) -> None:
        ended = dataclasses.replace(held.record, state=state, note=note)
        await self._repository.change(held, ended)
        self._writers_by_server.pop(held.record.server, None)
        await self._repository.give_back_slot(held.record.server, time.time())
