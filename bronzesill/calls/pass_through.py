"""Calls that are sent to a plain service on a connection of their own."""

from __future__ import annotations

import aiohttp

from ..upstream import InvalidAnswer, require_answer_status
from ..utils import Address, BronzesillError, ResultCode
from .interfaces import CallAnswer, CallRequest

__all__ = ['send_call']

_CONNECT_TIMEOUT_S = 0.5


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
            require_answer_status(response.status)
            return CallAnswer(
                response.status, response.content_type, await response.read()
            )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise BronzesillError(
            ResultCode.CALL_NOT_RUN, 'not run: could not connect to the service'
        ) from None
    except (aiohttp.ClientError, InvalidAnswer, TimeoutError) as error:
        raise BronzesillError(
            ResultCode.CALL_OUTCOME_UNKNOWN,
            f'outcome unknown: {type(error).__name__} after sending',
        ) from error
