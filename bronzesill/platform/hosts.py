"""HTTP client of the platform's list of hosts."""

from __future__ import annotations

import aiohttp
import orjson

from ..store import ListedHost
from ..upstream import require_answer_status
from ..utils import (
    Address,
    BronzesillError,
    ResultCode,
    structure,
)

__all__ = ['HttpHostList']

_CALL_TIMEOUT_S = 2.0


class HttpHostList:
    """
    Client that reads the list of hosts as a JSON array.

    :param session: HTTP session, owned by the caller.
    :param address: address of the service that provides the list.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: Address
    ) -> None:
        self._session = session
        self._url = f'{address.url}/hosts'

    async def read(self) -> tuple[ListedHost, ...]:
        """
        Read the current list.

        :raises BronzesillError: ``STORE_UNAVAILABLE`` if the service does not
            respond, the body is not JSON, or an entry lacks a field or has
            one of another type.
        """
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url, timeout=timeout
            ) as response:
                require_answer_status(response.status)
                raw = orjson.loads(await response.read())
                return tuple(structure(raw, list[ListedHost]))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise BronzesillError(
                ResultCode.STORE_UNAVAILABLE,
                f'host list could not be read: {type(error).__name__}',
            ) from error
