"""Test client for daemons on the platform."""

from __future__ import annotations

import dataclasses

import aiohttp
from yarl import URL

from ...standins.hosted_fleet import HOSTED_KEY
from ...utils import Address

__all__ = ['HOST', 'HostedAnswer', 'HostedCaller']

#: Host name of all routes of a hosted fleet.
HOST = 'shop.example'


@dataclasses.dataclass(frozen=True)
class HostedAnswer:
    """
    Answer to a request.

    :param status: HTTP status.
    :param headers: headers by name in lower case.
    :param body: body as received.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HostedCaller:
    """Sends requests in the way callers of the platform do."""

    def __init__(self) -> None:
        self.sent = 0
        self._session = aiohttp.ClientSession(auto_decompress=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_request(
        self,
        address: Address,
        target: str,
        method: str = 'POST',
        body: bytes = b'catalogue',
        **headers: str,
    ) -> HostedAnswer:
        """
        Send a request and read its answer.

        :param address: address at which a daemon serves callers.
        :param target: encoded path and query, sent unchanged.
        :param method: HTTP method.
        :param body: body of the request.
        :param headers: additional headers; underscores in names stand for
            dashes.
        """
        self.sent += 1
        named = {
            'Host': HOST,
            'Authorization': f'Bearer {HOSTED_KEY}',
            'X-Attempt-Id': f'id-{self.sent}',
            'X-Deadline-Ms': '8000',
        }
        changed = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        url = URL(f'{address.url}{target}', encoded=True)
        async with self._session.request(
            method, url, data=body, headers={**named, **changed}
        ) as response:
            return HostedAnswer(
                response.status,
                {name.lower(): text for name, text in response.headers.items()},
                await response.read(),
            )
