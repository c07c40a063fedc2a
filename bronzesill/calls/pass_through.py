"""HTTP calls to plain services and their responses."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import aiohttp

from ..upstream import Header
from ..utils import Address, BronzesillError, ResultCode

__all__ = ['CallAnswer', 'CallRequest', 'send_call']

_CONNECT_TIMEOUT_S = 0.5
_FORWARDED_HEADERS = frozenset(('content-type', 'accept', 'idempotency-key'))


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """
    A call as it is sent to a plain service.

    :param method: HTTP method.
    :param path: request path with the query string.
    :param headers: headers to send, by name in lower case.
    :param body: request body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @classmethod
    def from_headers(
        cls, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> CallRequest:
        """Build a call with only those headers that are forwarded."""
        forwarded = {
            name.lower(): value
            for name, value in headers.items()
            if name.lower() in _FORWARDED_HEADERS
        }
        return cls(method, path, forwarded, body)


@dataclasses.dataclass(frozen=True)
class CallAnswer:
    """
    Response of a plain service.

    :param status: HTTP status.
    :param content_type: media type of the body.
    :param body: response body.
    :param is_replay: whether the response is a recorded one of an earlier
        run of the call.
    :param headers: headers of a forwarded response.
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
    Send a call once, on a new connection.

    :param session: HTTP session without connection reuse.
    :param address: address on which the service listens.
    :param call: the call to send.
    :param deadline_s: timeout of the whole call in seconds.
    :raises BronzesillError: ``CALL_NOT_RUN`` if no connection was
        established, so that no byte was sent; ``CALL_OUTCOME_UNKNOWN`` for
        any later failure.
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
            ResultCode.CALL_NOT_RUN, 'not run: could not connect to the service'
        ) from None
    except (aiohttp.ClientError, TimeoutError) as error:
        raise BronzesillError(
            ResultCode.CALL_OUTCOME_UNKNOWN,
            f'outcome unknown: {type(error).__name__} after sending',
        ) from error
