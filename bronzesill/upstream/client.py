"""HTTP client of one service, on pooled connections."""

from __future__ import annotations

import asyncio
import dataclasses

from ..utils import Address
from .answer import AnswerError, AnswerHead, RequestNotSent
from .connectors import Target
from .pool import ConnectionLease, ConnectionPool

__all__ = ['HttpAnswer', 'HttpCall', 'ServiceClient']

_MAX_IDLE_S = 10.0
#: Limit of a whole body; an answer that is longer counts as invalid.
_MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class HttpCall:
    """
    Call to a service.

    :param method: HTTP method.
    :param target: path with the query, percent-encoded.
    :param body: JSON document, empty for none.
    """

    method: str
    target: str
    body: bytes = b''

    def encode(self, address: Address) -> bytes:
        """
        Return the serialized request.

        :param address: value of the ``Host`` header.
        """
        lines = (
            f'{self.method} {self.target} HTTP/1.1',
            f'Host: {address}',
            'Content-Type: application/json',
            f'Content-Length: {len(self.body)}',
            '\r\n',
        )
        return '\r\n'.join(lines).encode() + self.body


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """
    Whole answer of a service.

    :param head: status and headers.
    :param body: bytes of the body.
    """

    head: AnswerHead
    body: bytes

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status


class ServiceClient:
    """
    Client for calls to one service.

    :param address: address of the service.
    :param connect_timeout_s: seconds until an attempt to connect fails.
    """

    def __init__(self, address: Address, connect_timeout_s: float) -> None:
        self._target = Target('service', address)
        self._pool = ConnectionPool(connect_timeout_s)

    async def call(self, call: HttpCall, timeout_s: float) -> HttpAnswer:
        """
        Send a call and return its whole answer.

        If the service has just closed a reused connection, a call of which
        nothing was sent, and a read in any case, is sent on a new one.

        :param call: the call.
        :param timeout_s: timeout of the whole call in seconds.
        :raises RequestNotSent: no byte of the call was sent.
        :raises AnswerError: the answer is missing, truncated or invalid.
        :raises TimeoutError: the time is over; the call may have been done.
        """
        async with asyncio.timeout(timeout_s):
            lease = await self._pool.acquire(
                self._target, max_idle_s=_MAX_IDLE_S
            )
            try:
                return await self._exchange(lease, call)
            except RequestNotSent:
                if not lease.is_reused:
                    raise
            except AnswerError:
                if call.method != 'GET' or not lease.is_reused:
                    raise
            lease = await self._pool.acquire(self._target, max_idle_s=0)
            return await self._exchange(lease, call)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def _exchange(
        self, lease: ConnectionLease, call: HttpCall
    ) -> HttpAnswer:
        try:
            head = await lease.send(call.encode(self._target.address))
            body = await lease.read_all(_MAX_BODY_BYTES)
            return HttpAnswer(head, body)
        finally:
            lease.release()
