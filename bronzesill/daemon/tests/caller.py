"""Test client that records every event of an answer."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import Any

import aiohttp
import orjson

from ...standins.fleet import CALLER_KEY
from ...utils import Address

__all__ = ['ReceivedAnswer', 'send_request', 'stream']


@dataclasses.dataclass
class ReceivedAnswer:
    """Part of an answer that has been received so far."""

    status: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    arrivals_s: list[float] = dataclasses.field(default_factory=list)
    last_event_id: str = ''
    total: int | None = None
    error: dict[str, Any] | None = None
    is_broken: bool = False

    @property
    def longest_gap_s(self) -> float:
        return max(
            later - earlier
            for earlier, later in itertools.pairwise(self.arrivals_s)
        )

    @property
    def code(self) -> str:
        return self.error['code'] if self.error else ''


def _headers(request_id: str, last_event_id: str) -> dict[str, str]:
    headers = {'Authorization': f'Bearer {CALLER_KEY}'}
    if request_id:
        headers['X-Request-Id'] = request_id
    if last_event_id:
        headers['Last-Event-ID'] = last_event_id
    return headers


async def stream(
    address: Address,
    body: dict[str, Any],
    *,
    request_id: str = '',
    last_event_id: str = '',
    received: ReceivedAnswer | None = None,
) -> ReceivedAnswer:
    """Request a streamed answer and record all received events."""
    received = received or ReceivedAnswer()
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f'{address.url}/v1/completions',
                json={**body, 'stream': True},
                headers=_headers(request_id, last_event_id),
            ) as response,
        ):
            received.status = response.status
            async for line in response.content:
                _process_line(received, line.strip())
    except aiohttp.ClientError:
        received.is_broken = True
    return received


def _process_line(received: ReceivedAnswer, line: bytes) -> None:
    if line.startswith(b'id: '):
        received.last_event_id = line[4:].decode()
    if not line.startswith((b'data: {', b'{')):
        return
    fields = orjson.loads(line.removeprefix(b'data: '))
    if 'error' in fields:
        received.error = fields['error']
        return
    if fields['choices'][0]['text']:
        received.tokens.append(fields['choices'][0]['text'])
        received.arrivals_s.append(asyncio.get_running_loop().time())
    if 'usage' in fields:
        received.total = fields['usage']['completion_tokens']


async def send_request(
    address: Address, path: str, method: str = 'GET', **options: Any
) -> tuple[int, Any, Any]:
    """Send one request; return status, decoded body and headers."""
    headers = {
        'Authorization': f'Bearer {CALLER_KEY}',
        **options.pop('headers', {}),
    }
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f'{address.url}{path}', headers=headers, **options
        ) as response,
    ):
        raw = await response.read()
        return response.status, orjson.loads(raw), response.headers
