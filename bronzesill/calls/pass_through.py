"""Calls to plain services, passed through by route."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import aiohttp

from ..upstream import Header
from ..utils import Address, BronzesillError, ResultCode

__all__ = ['CallAnswer', 'CallRequest', 'send_call']

_CONNECT_TIMEOUT_S = 0.5
_FORWARDED = frozenset(('content-type', 'accept', 'idempotency-key'))


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """
    A call as it is sent to a plain service.

    :param method: HTTP method.
    :param path: path with its query.
    :param headers: headers to send, in lower case.
    :param body: bytes of the body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @classmethod
    def from_headers(
        cls, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> CallRequest:
        """Build a call, keeping only headers that are passed on."""
        kept = {
            name.lower(): text
            for name, text in headers.items()
            if name.lower() in _FORWARDED
        }
        return cls(method, path, kept, body)


@dataclasses.dataclass(frozen=True)
class CallAnswer:
    """
    What a plain service answered.

    :param status: HTTP status.
    :param content_type: type of the body.
    :param body: bytes of the body.
    :param is_replay: whether the call ran before and this is its record.
    :param headers: all headers of an answer that is passed on as it came.
    """

    status: int
    content_type: str
    body: bytes
    is_replay: bool = False
    headers: tuple[Header, ...] = ()


async def send_call(
    session: aiohttp.ClientSession,
    address: Address,
    call: CallRequest,
    deadline_s: float,
) -> CallAnswer:
    """
    Send a call once, on a connection of its own.

    :param session: HTTP session that keeps no connections alive.
    :param address: where the service listens.
    :param call: what to send.
    :param deadline_s: seconds within which it must have answered.
    :raises BronzesillError: ``CALL_NOT_RUN`` if no connection came about, so
        that no byte was sent; ``CALL_OUTCOME_UNKNOWN`` for any later failure.
    """
    timeout = aiohttp.ClientTimeout(
        total=deadline_s, sock_connect=_CONNECT_TIMEOUT_S
    )
    try:
        async with session.request(
            call.method,
            f'{address.url}{call.path}',
            data=call.body,
            headers=call.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            return CallAnswer(
                response.status, response.content_type, await response.read()
            )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise BronzesillError(
            ResultCode.CALL_NOT_RUN, 'not run: the service was not reached'
        ) from None
    except (aiohttp.ClientError, TimeoutError) as error:
        raise BronzesillError(
            ResultCode.CALL_OUTCOME_UNKNOWN,
            f'outcome unknown: {type(error).__name__} after sending',
        ) from error
