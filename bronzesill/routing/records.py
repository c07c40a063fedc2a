"""What one daemon knows of one backend server, and how that changes."""

from __future__ import annotations

import dataclasses
import math

__all__ = ['LoadReport', 'ServerRecord']

_SUSPECT_S = 3.0
_MOST_DOUBLINGS = 2
_SMOOTHING = 0.05


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """
    Load as a server reported it.

    :param running: streams running on the server.
    :param version: version the server runs.
    :param at_s: when the report was read.
    """

    running: int
    version: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """
    What is known of one server.

    :param running: streams this daemon has open there.
    :param reading: those of them whose answer has not begun.
    :param tokens: memory that they and kept copies may need, in tokens.
    :param since_report: streams opened there since the last report.
    :param report: last report, none before the first.
    :param suspected_until_s: time until which it is avoided.
    :param failed_at_s: when it last gave this daemon no answer.
    :param losses: requests without an answer since the last answer.
    :param failure_rate: smoothed share of requests that failed.
    """

    running: int = 0
    reading: int = 0
    tokens: int = 0
    since_report: int = 0
    report: LoadReport | None = None
    suspected_until_s: float = 0
    failed_at_s: float = -math.inf
    losses: int = 0
    failure_rate: float = 0

    @property
    def is_used(self) -> bool:
        """Whether this daemon uses the server now."""
        return bool(self.running or self.tokens)

    def opened(self) -> ServerRecord:
        """Count a stream opened."""
        return dataclasses.replace(
            self,
            running=self.running + 1,
            reading=self.reading + 1,
            since_report=self.since_report + 1,
        )

    def begun(self) -> ServerRecord:
        """Count an answer that began."""
        return dataclasses.replace(self, reading=max(self.reading - 1, 0))

    def closed(self, *, has_begun: bool) -> ServerRecord:
        """Count a stream closed."""
        return dataclasses.replace(
            self,
            running=max(self.running - 1, 0),
            reading=max(self.reading - int(not has_begun), 0),
            since_report=max(self.since_report - 1, 0),
        )

    def occupied(self, tokens: int) -> ServerRecord:
        """Count memory that is taken or, if negative, given back."""
        return dataclasses.replace(self, tokens=max(self.tokens + tokens, 0))

    def reported(self, report: LoadReport) -> ServerRecord:
        """Take in a load report."""
        return dataclasses.replace(self, report=report, since_report=0)

    def answered(self, *, is_failure: bool) -> ServerRecord:
        """Take in an answer, which may be a failure."""
        return dataclasses.replace(
            self, losses=0, failure_rate=self._rate_after(is_failure)
        )

    def failed(self, now_s: float) -> ServerRecord:
        """Take in that the server gave this daemon no answer."""
        return dataclasses.replace(
            self,
            failed_at_s=now_s,
            losses=self.losses + 1,
            failure_rate=self._rate_after(True),
        )

    def avoided(self, now_s: float) -> ServerRecord:
        """Avoid the server for a while, longer each time in a row."""
        doublings = min(max(self.losses - 1, 0), _MOST_DOUBLINGS)
        until_s = now_s + _SUSPECT_S * 2**doublings
        return dataclasses.replace(
            self, suspected_until_s=max(until_s, self.suspected_until_s)
        )

    def _rate_after(self, is_failure: bool) -> float:
        change = int(is_failure) - self.failure_rate
        return self.failure_rate + _SMOOTHING * change
