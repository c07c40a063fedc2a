"""A caller of the platform, for tests."""

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
    What came back.

    :param status: status of the answer.
    :param headers: its headers by name in lower case.
    :param body: its bytes.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HostedCaller:
    """Sends requests as callers of the platform do."""

    def __init__(self) -> None:
        self.sent = 0
        self._session = aiohttp.ClientSession(auto_decompress=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def ask(
        self,
        address: Address,
        target: str,
        method: str = 'POST',
        body: bytes = b'catalogue',
        **headers: str,
    ) -> HostedAnswer:
        """
        Send a request and read its answer.

        :param address: where a daemon serves callers.
        :param target: path and query, byte for byte.
        :param method: method of the request.
        :param body: its body.
        :param headers: more headers, underscores for dashes.
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
