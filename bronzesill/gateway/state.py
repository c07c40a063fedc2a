"""State of the daemon that the gateway reads for each request."""

from __future__ import annotations

import asyncio
import contextlib

from falcon import asgi

from ..config import Document
from ..utils import BronzesillError, ResultCode, ServingLimits
from .exchange import Exchange

__all__ = ['GatewayState']

#: Retry interval while a starting host loads its configuration, which takes
#: only a short time if the store responds.
_STARTUP_RETRY_AFTER_S = 0.3
#: Callers wait for one second until a request is read or answered.
_STARTUP_WAIT_S = 0.7


class GatewayState:
    """
    Configuration and readiness of the daemon.

    Written by the daemon's controllers; read by filters and resources.
    """

    def __init__(self) -> None:
        self._document: Document | None = None
        self._document_known = asyncio.Event()
        self._waits_until_s: float = 0
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
