"""State of the daemon that the gateway reads for each request."""

from __future__ import annotations

from falcon import asgi

from ..config import Document
from ..utils import BronzesillError, ResultCode, ServingLimits
from .exchange import Exchange

__all__ = ['GatewayState']

#: Retry interval while a starting host loads its configuration, which takes
#: only a short time if the store responds.
_STARTUP_RETRY_AFTER_S = 0.3


class GatewayState:
    """
    Configuration and readiness of the daemon.

    Written by the daemon's controllers; read by filters and resources.
    """

    def __init__(self) -> None:
        self.document: Document | None = None
        self.is_stopping = False
        #: Loop time at which this daemon exits, ``None`` unless it is
        #: stopping.
        self.stops_at_s: float | None = None

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
