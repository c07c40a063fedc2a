"""HTTP client for orders to backend servers."""

from __future__ import annotations

import enum

import aiohttp
import orjson

from ..upstream import require_answer_status
from ..utils import Address
from .record import OrderKind, OrderRecord

__all__ = ['OrderClient', 'SendResult']

_TIMEOUT_S = 2.0
_HTTP_OK = 200
_HTTP_CONFLICT = 409


class SendResult(enum.Enum):
    """Result of sending an order; ``UNKNOWN`` if it may have taken effect."""

    ACCEPTED = 'taken'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class OrderClient:
    """
    Sends orders to backend servers and reads back their effect.

    :param session: HTTP session, owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)

    async def send(self, address: Address, record: OrderRecord) -> SendResult:
        """
        Send an order once, without retries.

        :param address: address of the backend server.
        :param record: the order.
        :returns: ``REFUSED`` for a fencing conflict, ``UNKNOWN`` for any
            other error or a timeout.
        """
        body = {
            'kind': record.kind.value,
            'version': record.argument,
            'argument': record.argument,
            'fencing': record.fencing,
        }
        try:
            async with self._session.post(
                f'{address.url}/v1/orders', json=body, timeout=self._timeout
            ) as response:
                if response.status == _HTTP_OK:
                    return SendResult.ACCEPTED
                is_refused = response.status == _HTTP_CONFLICT
        except (aiohttp.ClientError, TimeoutError):
            return SendResult.UNKNOWN
        return SendResult.REFUSED if is_refused else SendResult.UNKNOWN

    async def is_in_effect(self, address: Address, record: OrderRecord) -> bool:
        """
        Return whether a server lists the model or version of an order.

        :param address: address of the backend server.
        :param record: the order.
        :returns: false also if the server cannot be read.
        """
        try:
            async with self._session.get(
                f'{address.url}/v1/models', timeout=self._timeout
            ) as response:
                require_answer_status(response.status)
                models = orjson.loads(await response.read())['data']
        except (aiohttp.ClientError, OSError, ValueError):
            return False
        field = 'owned_by'
        if record.kind is OrderKind.LOAD_MODEL:
            field = 'id'
        return any(model.get(field) == record.argument for model in models)
