"""What the gateway looks up for each request."""

from __future__ import annotations

from falcon import asgi

from ..config import Document
from ..utils import BronzesillError, ResultCode, ServingLimits
from .exchange import Exchange

__all__ = ['GatewayState']

#: A host that starts knows its configuration soon, if the store answers.
_RETRY_STARTING_S = 0.3


class GatewayState:
    """
    Configuration and readiness as the gateway sees them.

    Set by the daemon's controllers; read by filters and resources.
    """

    def __init__(self) -> None:
        self.document: Document | None = None
        self.is_stopping = False
        #: Loop time at which this daemon ends, none while it is not stopping.
        self.ends_at_s: float | None = None

    def serving_limits(self) -> ServingLimits:
        """Return what a connection's other side may do now."""
        if self.document is None:
            return ServingLimits()
        limits = self.document.limits
        return ServingLimits(
            limits.max_header_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def exchange(self, http: asgi.Request) -> Exchange:
        """
        Begin the way of a request through the filters.

        :raises BronzesillError: no configuration is in force yet.
        """
        if self.document is None:
            raise BronzesillError(
                ResultCode.NOT_READY,
                'not run: this host has no configuration yet',
                retry_after_s=_RETRY_STARTING_S,
            )
        return Exchange(http, self.document)
