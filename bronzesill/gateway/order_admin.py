"""Falcon resource for orders of operators to backend servers."""

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
class _OrderRequest:
    server: str
    kind: OrderKind
    argument: str
    reason: str


class OrderAdminResource:
    """
    ``/admin/orders`` path of one daemon.

    :param state: configuration in force.
    :param orders: creates and lists orders.
    """

    def __init__(self, state: GatewayState, orders: OrdersController) -> None:
        self._state = state
        self._orders = orders

    def add_routes(self, app: asgi.App[Any, Any]) -> None:
        """Add the route of this resource to an application."""
        app.add_route('/admin/orders', self)

    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the most recent order of each backend server."""
        records = await self._orders.list_records()
        response.media = {'orders': [unstructure(record) for record in records]}

    async def on_post(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Create an order and return its record.

        :raises BronzesillError: the operator is rejected, or the order is not
            valid.
        """
        operator = authenticate_operator(request, self._state.document)
        try:
            requested = structure(
                orjson.loads(await request.stream.read()), _OrderRequest
            )
        except (orjson.JSONDecodeError, DocumentInvalid) as error:
            raise _invalid(str(error)) from error
        document = self._state.document
        if document is None or requested.server not in document.servers:
            raise _invalid(f'unknown backend server {requested.server!r}')
        record = await self._orders.create(
            OrderRecord(
                server=requested.server,
                kind=requested.kind,
                argument=requested.argument,
                operator=operator,
                reason=requested.reason,
                created_at_s=time.time(),
            )
        )
        response.media = unstructure(record)


def _invalid(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.FIELD_INVALID, detail)
