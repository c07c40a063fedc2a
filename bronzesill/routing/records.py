"""Load and failure record that one daemon keeps of a backend server."""

from __future__ import annotations

import dataclasses
import math

__all__ = ['LoadReport', 'ServerRecord']

_BASE_SUSPICION_S = 3.0
_MAX_DOUBLINGS = 2
_FAILURE_RATE_SMOOTHING = 0.05
#: Load reports up to this age tell how many requests a server has.
_LOAD_VALID_S = 0.2


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """
    Load reported by a server.

    :param running: number of streams running on the server.
    :param version: version that the server runs.
    :param at_s: time in seconds at which the report was read.
    :param slowdown: how many times as long as usual work takes on the server's
        machine, ``None`` if not reported.
    :param waiting: those of the running streams that wait for a slot.
    """

    running: int
    version: str
    at_s: float
    slowdown: float | None = None
    waiting: int = 0


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """
    Load and failures of one server, as observed by this daemon.

    :param running: streams that this daemon has open on the server.
    :param prefilling: those of them whose response has not started.
    :param tokens: maximum memory that these streams and retained copies may
        need, in tokens.
    :param opened_since_report: streams opened since the last load report.
    :param report: last load report, ``None`` before the first one.
    :param suspected_until_s: time in seconds until which the server is avoided.
    :param failed_at_s: time in seconds at which the server last failed to
        respond to this daemon.
    :param consecutive_failures: unanswered requests since the last response.
    :param failure_rate: exponentially smoothed fraction of failed requests.
    """

    running: int = 0
    prefilling: int = 0
    tokens: int = 0
    opened_since_report: int = 0
    report: LoadReport | None = None
    suspected_until_s: float = 0
    failed_at_s: float = -math.inf
    consecutive_failures: int = 0
    failure_rate: float = 0

    @property
    def is_used(self) -> bool:
        """Whether this daemon has open streams or copies on the server."""
        return bool(self.running or self.tokens)

    def used(self, others_running: int, now_s: float) -> int:
        """
        Return the requests of all daemons on the server, as far as known.

        :param others_running: requests that the other daemons reported.
        :param now_s: current time in seconds.
        """
        running = self.running + others_running
        report = self.report
        if report is None or now_s - report.at_s >= _LOAD_VALID_S:
            return running
        return max(running, report.running + self.opened_since_report)

    def opened(self) -> ServerRecord:
        """Return the record after a stream was opened."""
        return dataclasses.replace(
            self,
            running=self.running + 1,
            prefilling=self.prefilling + 1,
            opened_since_report=self.opened_since_report + 1,
        )

    def response_started(self) -> ServerRecord:
        """Return the record after the response of a stream started."""
        return dataclasses.replace(self, prefilling=max(self.prefilling - 1, 0))

    def closed(self, *, has_response_started: bool) -> ServerRecord:
        """
        Return the record after a stream was closed.

        :param has_response_started: whether the response of the stream had
            started.
        """
        return dataclasses.replace(
            self,
            running=max(self.running - 1, 0),
            prefilling=max(self.prefilling - int(not has_response_started), 0),
            opened_since_report=max(self.opened_since_report - 1, 0),
        )

    def memory_changed(self, tokens: int) -> ServerRecord:
        """
        Return the record after the memory need changed.

        :param tokens: change in tokens, negative if memory was released.
        """
        return dataclasses.replace(self, tokens=max(self.tokens + tokens, 0))

    def reported(self, report: LoadReport) -> ServerRecord:
        """Return the record with a new load report."""
        return dataclasses.replace(self, report=report, opened_since_report=0)

    def answered(self, *, is_failure: bool) -> ServerRecord:
        """
        Return the record after a response.

        :param is_failure: whether the response reports a failure; it raises
            the failure rate, but the server is not suspected.
        """
        return dataclasses.replace(
            self,
            consecutive_failures=0,
            failure_rate=self._updated_failure_rate(is_failure),
        )

    def failed(self, now_s: float) -> ServerRecord:
        """Return the record after the server did not respond to a request."""
        return dataclasses.replace(
            self,
            failed_at_s=now_s,
            consecutive_failures=self.consecutive_failures + 1,
            failure_rate=self._updated_failure_rate(True),
        )

    def cleared(self) -> ServerRecord:
        """Return the record without suspicion."""
        return dataclasses.replace(
            self, failed_at_s=0, consecutive_failures=0, suspected_until_s=0
        )

    def marked_suspected(self, now_s: float) -> ServerRecord:
        """
        Return the record with the server suspected for some time.

        The time doubles with each consecutive failure, up to 12 seconds.
        """
        doublings = min(max(self.consecutive_failures - 1, 0), _MAX_DOUBLINGS)
        until_s = now_s + _BASE_SUSPICION_S * 2**doublings
        return dataclasses.replace(
            self, suspected_until_s=max(until_s, self.suspected_until_s)
        )

    def _updated_failure_rate(self, is_failure: bool) -> float:
        change = int(is_failure) - self.failure_rate
        return self.failure_rate + _FAILURE_RATE_SMOOTHING * change
