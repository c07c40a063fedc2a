"""Client for model engines: open, read and cancel streams."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from typing import Any

import aiohttp
import orjson

from ..upstream import require_answer_status
from ..utils import Address, read_integer
from .messages import EndArrived, TokensArrived
from .stream_client import AttemptRefused, StreamMessage, StreamOpening

__all__ = ['EngineClient']

_CONNECT_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 1.0
_HTTP_OK = 200
_EVENT_END = b'\n\n'
_DATA_FIELD = b'data: '
_DONE_MARKER = b'[DONE]'


class EngineClient:
    """
    Client for engines that can resume a completion from accepted tokens.

    :param session: HTTP session, which the caller closes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        """
        Open a stream and yield its messages up to the end marker.

        :param opening: stream to open.
        :raises AttemptRefused: the engine did not start the stream.
        :raises ConnectionError: the connection failed, or the status is not
            that of an answer.
        """
        try:
            async for message in self._read(opening):
                yield message
        except aiohttp.ClientConnectorError as error:
            raise AttemptRefused(str(error)) from error
        except aiohttp.ClientError as error:
            raise ConnectionError(str(error)) from error

    async def cancel(self, opening: StreamOpening) -> None:
        """Cancel a stream; connection errors and timeouts are ignored."""
        timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
        try:
            async with self._session.delete(
                opening.stream_url, timeout=timeout
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    async def is_alive(self, server: str, address: Address) -> bool:
        """Return True; this client does not probe engines."""
        return True

    async def _read(
        self, opening: StreamOpening
    ) -> AsyncIterator[StreamMessage]:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        )
        pending = b''
        async with self._send(opening, timeout) as response:
            require_answer_status(response.status)
            if response.status != _HTTP_OK:
                raise AttemptRefused(f'status {response.status}')
            async for chunk in response.content.iter_any():
                *events, pending = (pending + chunk).split(_EVENT_END)
                for message in _parse_events(events, opening.attempt):
                    yield message

    def _send(self, opening: StreamOpening, timeout: Any) -> Any:
        if opening.is_attach:
            offset = len(opening.accepted)
            return self._session.get(
                f'{opening.stream_url}?offset={offset}', timeout=timeout
            )
        return self._session.post(
            f'{opening.address.url}/v1/completions',
            data=orjson.dumps(_completion_body(opening)),
            headers={'Content-Type': 'application/json'},
            timeout=timeout,
        )


def _completion_body(opening: StreamOpening) -> dict[str, Any]:
    request = opening.request
    return {
        'model': request.model,
        'version': request.version,
        'prompt': request.prompt,
        'seed': request.seed,
        'max_tokens': request.max_tokens,
        'accepted': opening.accepted,
        'stream': True,
        'stream_id': request.stream_id(opening.attempt),
        'priority': 0 if opening.accepted else 1,
    }


def _parse_events(
    events: list[bytes], attempt: int
) -> Iterator[TokensArrived | EndArrived]:
    """
    Yield the messages of complete events.

    :raises ValueError: an event is malformed.
    """
    try:
        yield from _decode_events(events, attempt)
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed event: {error}') from error


def _decode_events(
    events: list[bytes], attempt: int
) -> Iterator[TokensArrived | EndArrived]:
    chunks = [
        orjson.loads(event[len(_DATA_FIELD) :])
        for event in events
        if event.startswith(_DATA_FIELD) and not event.endswith(_DONE_MARKER)
    ]
    tokens = tuple(_read_token(chunk) for chunk in chunks if _is_token(chunk))
    if tokens:
        offset = read_integer(chunks[0]['offset'])
        yield TokensArrived(attempt, offset, tokens)
    if chunks and not _is_token(chunks[-1]):
        yield EndArrived(
            attempt,
            read_integer(chunks[-1]['usage']['completion_tokens']),
            str(chunks[-1]['choices'][0]['finish_reason']),
        )


def _read_token(chunk: dict[str, Any]) -> str:
    text = chunk['choices'][0]['text']
    if not isinstance(text, str):
        raise TypeError('expected the text of a token')
    return text


def _is_token(chunk: dict[str, Any]) -> bool:
    return chunk['choices'][0]['finish_reason'] is None
