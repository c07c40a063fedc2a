"""Detection of callers that disconnect before the end of their answer."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from falcon import asgi

from ..utils import BronzesillError, ResultCode

__all__ = [
    'ReceiveBufferMiddleware',
    'call_at_end',
    'read_body',
    'run_until_disconnect',
    'watch_disconnect',
]

_RECEIVE_BUFFER_KEY = 'bronzesill.events'
_END_CALLBACKS_KEY = 'bronzesill.callbacks'
_UNLIMITED_BYTES = sys.maxsize

_Receive = Callable[[], Awaitable[dict[str, Any]]]


class _ReceiveBuffer:
    """
    Buffer of ASGI events that falcon has already consumed.

    Falcon receives the first event of each request itself; the buffer makes
    that event available again to ``receive``.

    :param receive: ASGI callable that returns the next event.
    """

    def __init__(self, receive: _Receive) -> None:
        self._receive = receive
        self._buffered: list[dict[str, Any]] = []

    async def receive_for_falcon(self) -> dict[str, Any]:
        """Return the next event and buffer it for ``receive``."""
        event = await self._receive()
        self._buffered.append(event)
        return event

    async def receive(self) -> dict[str, Any]:
        """Return the oldest buffered event, or wait for a new one."""
        if self._buffered:
            return self._buffered.pop(0)
        return await self._receive()


class ReceiveBufferMiddleware:
    """
    ASGI middleware that buffers received events for ``receive_event``.

    This lets request handlers read the body and detect a disconnect themselves.

    :param app: the wrapped ASGI application.
    """

    def __init__(self, app: Any) -> None:
        self._app = app

    async def __call__(
        self, scope: dict[str, Any], receive: _Receive, send: Any
    ) -> None:
        """Pass a request to the application with a buffered ``receive``."""
        receive_buffer = _ReceiveBuffer(receive)
        scope[_RECEIVE_BUFFER_KEY] = receive_buffer
        callbacks: list[Callable[[], object]] = []
        scope[_END_CALLBACKS_KEY] = callbacks
        try:
            await self._app(scope, receive_buffer.receive_for_falcon, send)
        finally:
            for on_end in callbacks:
                on_end()


def call_at_end(http: asgi.Request, on_end: Callable[[], object]) -> None:
    """
    Call a function when the answer to a request has been sent, or has failed.

    :param http: a request that came through ``ReceiveBufferMiddleware``.
    :param on_end: the function.
    """
    http.scope[_END_CALLBACKS_KEY].append(on_end)


async def receive_event(http: asgi.Request) -> dict[str, Any]:
    """
    Return the next ASGI event of a request.

    :param http: a request that came through ``ReceiveBufferMiddleware``.
    """
    receive_buffer: _ReceiveBuffer = http.scope[_RECEIVE_BUFFER_KEY]
    return await receive_buffer.receive()


async def read_body(
    http: asgi.Request,
    max_bytes: int = _UNLIMITED_BYTES,
    on_size: Callable[[int], object] | None = None,
) -> bytes:
    """
    Read the complete body of a request.

    Falcon's stream is not used because it treats a disconnect in the middle of
    a body as the end of a shorter body.

    :param http: the request.
    :param max_bytes: maximum size of the body in bytes.
    :param on_size: called with the size read so far; may raise an error.
        ``None`` to call nothing.
    :raises BronzesillError: ``CALLER_LEFT`` or ``BODY_TOO_LARGE``.
    """
    chunks: list[bytes] = []
    size = 0
    has_more = True
    while has_more:
        event = await receive_event(http)
        if event['type'] == 'http.disconnect':
            raise BronzesillError(
                ResultCode.CALLER_LEFT, 'the caller disconnected'
            )
        chunks.append(event.get('body', b''))
        size += len(chunks[-1])
        if size > max_bytes:
            raise BronzesillError(
                ResultCode.BODY_TOO_LARGE,
                f'not run: request body exceeds {max_bytes} bytes',
            )
        if on_size is not None:
            on_size(size)
        has_more = event.get('more_body', False)
    return b''.join(chunks)


def watch_disconnect(
    http: asgi.Request, on_disconnect: Callable[[], object]
) -> asyncio.Task[None]:
    """
    Invoke a callback once when the caller of a request disconnects.

    :param http: the request; its body has been read.
    :param on_disconnect: the callback.
    :returns: the watching task, to be cancelled when the answer ends.
    """
    return asyncio.create_task(_wait_for_disconnect(http, on_disconnect))


async def _wait_for_disconnect(
    http: asgi.Request, on_disconnect: Callable[[], object]
) -> None:
    event = await receive_event(http)
    while event['type'] != 'http.disconnect':
        event = await receive_event(http)
    on_disconnect()


async def run_until_disconnect(
    http: asgi.Request, work: asyncio.Task[None]
) -> None:
    """
    Wait for a task, and cancel it if the caller disconnects.

    :param http: the request; its body has been read.
    :param work: the task.
    :raises BronzesillError: ``CALLER_LEFT``, or an error raised by ``work``.
    """
    watcher = watch_disconnect(http, work.cancel)
    try:
        await work
    except asyncio.CancelledError:
        if watcher.done() and not watcher.cancelled():
            raise BronzesillError(
                ResultCode.CALLER_LEFT, 'the caller disconnected'
            ) from None
        work.cancel()
        raise
    finally:
        watcher.cancel()
