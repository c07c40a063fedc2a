"""State of the daemon that the gateway reads for each request."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from falcon import asgi

from ..config import Document
from ..utils import BronzesillError, ResultCode, ServingLimits
from .disconnect import run_until_disconnect
from .exchange import Exchange

__all__ = [
    'STOP_MARGIN_S',
    'GatewayState',
    'OpenRequest',
    'OpenRequests',
    'stopping_error',
]

#: Retry interval while a starting host loads its configuration, which takes
#: only a short time if the store responds.
_STARTUP_RETRY_AFTER_S = 0.3
#: Callers wait for one second until a request is read or answered.
_STARTUP_WAIT_S = 0.7
#: Time before a stopping host exits by which its requests have to end.
STOP_MARGIN_S = 0.2
#: Callers that a stopping host refuses may ask another one soon.
_STOPPING_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(frozen=True)
class OpenRequest:
    """
    A request whose answer has not begun.

    :param has_sent: returns whether a server may have received it.
    :param latest_end_s: returns the time by which it ends if it is sent now;
        both are times of the event loop in seconds.
    """

    has_sent: Callable[[], bool]
    latest_end_s: Callable[[float], float]


class OpenRequests:
    """
    Requests whose answers have not begun.

    A stopping host ends those that it cannot serve with an answer of its own,
    before it closes their connections.
    """

    def __init__(self) -> None:
        self._by_task: dict[asyncio.Task[None], OpenRequest] = {}
        self._ended: dict[asyncio.Task[None], BronzesillError] = {}

    async def run(
        self,
        http: asgi.Request,
        work: Coroutine[Any, Any, None],
        request: OpenRequest,
    ) -> None:
        """
        Run a coroutine until the caller disconnects or the host must end it.

        :param http: the request; its body has been read.
        :param work: the coroutine, which ends when the answer has begun.
        :param request: what is known of the request.
        :raises BronzesillError: ``STOPPING`` or ``CALL_OUTCOME_UNKNOWN``, the
            host stops; ``CALLER_LEFT``; or an error raised by ``work``.
        """
        task = asyncio.create_task(work)
        self._by_task[task] = request
        try:
            await run_until_disconnect(http, task)
        except asyncio.CancelledError:
            error = self._ended.get(task)
            if error is None:
                raise
            if request.has_sent():
                # It may have been sent since the host decided to end it.
                error = _unknown_error()
            raise error from None
        finally:
            self._by_task.pop(task, None)
            self._ended.pop(task, None)

    def end_before(self, stops_at_s: float, now_s: float) -> None:
        """
        End requests that the host cannot serve before it exits.

        Those that were not sent to a server are ended as soon as they could
        not end in time; all others just before the exit.

        :param stops_at_s: loop time at which the host exits, in seconds.
        :param now_s: loop time in seconds.
        """
        is_last_moment = now_s + STOP_MARGIN_S >= stops_at_s
        for task, request in tuple(self._by_task.items()):
            if task in self._ended:
                continue
            latest_s = request.latest_end_s(now_s) + STOP_MARGIN_S
            if not request.has_sent() and latest_s > stops_at_s:
                self._end(task, stopping_error())
            elif is_last_moment:
                self._end(task, _unknown_error())

    def _end(self, task: asyncio.Task[None], error: BronzesillError) -> None:
        self._ended[task] = error
        task.cancel()


class GatewayState:
    """
    Configuration and readiness of the daemon.

    Written by the daemon's controllers; read by filters and resources.
    """

    def __init__(self) -> None:
        self._document: Document | None = None
        self._document_known = asyncio.Event()
        self._waits_until_s: float = 0
        self.open_requests = OpenRequests()
        self.is_stopping = False
        #: Loop time at which this daemon exits, ``None`` unless it is
        #: stopping.
        self.stops_at_s: float | None = None

    @property
    def document(self) -> Document | None:
        """Configuration in force, ``None`` until one is known."""
        return self._document

    @document.setter
    def document(self, document: Document) -> None:
        self._document = document
        self._document_known.set()

    def begin_start(self) -> None:
        """Let requests wait for the first configuration for a short time."""
        now_s = asyncio.get_running_loop().time()
        self._waits_until_s = now_s + _STARTUP_WAIT_S

    async def wait_until_started(self) -> None:
        """
        Wait for the first configuration, but not beyond the start.

        Requests that arrived while the program was loading are then served
        and not refused.
        """
        if self._document is not None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._waits_until_s):
                await self._document_known.wait()

    def serving_limits(self) -> ServingLimits:
        """
        Return the header size and time limits for caller connections.

        The defaults apply until a configuration is in force.
        """
        if self.document is None:
            return ServingLimits()
        limits = self.document.limits
        return ServingLimits(
            limits.max_header_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def new_exchange(self, http: asgi.Request) -> Exchange:
        """
        Create the context of a request for the filter chain.

        :raises BronzesillError: ``NOT_READY``, no configuration is in force.
        """
        if self.document is None:
            raise BronzesillError(
                ResultCode.NOT_READY,
                'not run: this host has no configuration yet',
                retry_after_s=_STARTUP_RETRY_AFTER_S,
            )
        return Exchange(http, self.document)


def stopping_error() -> BronzesillError:
    """Return the refusal of a request that was sent to no server."""
    return BronzesillError(
        ResultCode.STOPPING,
        'not run: this host is shutting down',
        retry_after_s=_STOPPING_RETRY_AFTER_S,
    )


def _unknown_error() -> BronzesillError:
    return BronzesillError(
        ResultCode.CALL_OUTCOME_UNKNOWN,
        'outcome unknown: this host is shutting down',
    )
