"""Times of a plain call while it runs and at its end."""

from __future__ import annotations

import asyncio
import types

from ..calls import DurationLog, ObservedRequest, RequestSize

__all__ = ['CallDuration']


class CallDuration:
    """
    Context manager that notes a call and records its end.

    :param durations: receives the times of the call.
    :param service: service that is called.
    :param started_s: loop time in seconds at which the call began.
    """

    def __init__(
        self, durations: DurationLog, service: str, started_s: float
    ) -> None:
        self._durations = durations
        self._service = service
        self._started_s = started_s
        self._is_whole = False
        self._number = 0

    def __enter__(self) -> None:
        """Note the call."""
        self._number = self._durations.begin(self._service, self._observe)

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Record the end of the call."""
        self._is_whole = error is None
        now_s = asyncio.get_running_loop().time()
        self._durations.end(self._service, self._number, now_s)

    def _observe(self, now_s: float) -> ObservedRequest:
        return ObservedRequest(
            RequestSize(),
            now_s,
            now_s - self._started_s,
            is_whole=self._is_whole,
        )
