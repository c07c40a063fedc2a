"""Falcon resource for orders to backend servers."""

from __future__ import annotations

import dataclasses
import time
from typing import Any

import orjson
from falcon import asgi

from ..orders import OrderKind, OrderRecord, OrdersController
from ..utils import (
    BronzesillError,
    DocumentInvalid,
    ResultCode,
    structure,
    unstructure,
)
from .operators import authenticate_operator
from .state import GatewayState

__all__ = ['OrderAdminResource']


@dataclasses.dataclass(frozen=True)
class _NewOrder:
    server: str
    kind: OrderKind
    argument: str
    reason: str


class OrderAdminResource:
    """
    ``/admin/orders`` of one daemon.

    :param state: configuration in force.
    :param orders: controller of orders.
    """

    def __init__(self, state: GatewayState, orders: OrdersController) -> None:
        self._state = state
        self._orders = orders

    def add_routes(self, app: asgi.App[Any, Any]) -> None:
        """Add the path to an application."""
        app.add_route('/admin/orders', self)

    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the last order of each backend server."""
        records = await self._orders.list_records()
        response.media = {'orders': [unstructure(each) for each in records]}

    async def on_post(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Create an order."""
        operator = authenticate_operator(request, self._state.document)
        try:
            wanted = structure(
                orjson.loads(await request.stream.read()), _NewOrder
            )
        except (orjson.JSONDecodeError, DocumentInvalid) as error:
            raise _invalid(str(error)) from error
        document = self._state.document
        if document is None or wanted.server not in document.servers:
            raise _invalid(f'no backend server {wanted.server!r}')
        record = await self._orders.create(
            OrderRecord(
                server=wanted.server,
                kind=wanted.kind,
                argument=wanted.argument,
                operator=operator,
                reason=wanted.reason,
                created_at_s=time.time(),
            )
        )
        response.media = unstructure(record)


def _invalid(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.FIELD_INVALID, detail)
