"""What a daemon knows of a backend server when it chooses one."""

from __future__ import annotations

import dataclasses
import math

__all__ = ['ServerView']

_REPORT_HALF_LIFE_S = 4.0
_READING_WEIGHT = 2.0


@dataclasses.dataclass(frozen=True)
class ServerView:
    """
    What a daemon knows of a backend server.

    :param name: name of the server.
    :param failure_domain: failure domain it stands in.
    :param model: model it serves.
    :param version: version it runs.
    :param capacity: streams it handles well at once.
    :param own_running: streams this daemon has open there.
    :param own_reading: those of them whose answer has not begun.
    :param others_running: streams that other daemons told they have open.
    :param others_reading: those of them whose answer has not begun.
    :param tokens: memory that all these and kept copies may need, in tokens.
    :param memory_tokens: tokens that its memory holds, 0 if not known.
    :param domain_started_at_s: when half of the servers of its kind in its
        failure domain had started, seconds since the epoch.
    :param own_since_report: streams opened there since its last report.
    :param reported_running: streams it reported.
    :param report_age_s: seconds since that report.
    :param is_leaving: whether it takes no new work.
    :param is_suspected: whether it failed or was silent a moment ago.
    :param failure_rate: smoothed share of requests that failed.
    """

    name: str
    failure_domain: str
    model: str
    version: str
    capacity: int
    own_running: int = 0
    own_reading: int = 0
    others_running: int = 0
    others_reading: int = 0
    tokens: int = 0
    memory_tokens: int = 0
    domain_started_at_s: float = 0
    own_since_report: int = 0
    reported_running: int = 0
    report_age_s: float = 0
    is_leaving: bool = False
    is_suspected: bool = False
    failure_rate: float = 0

    @property
    def fill(self) -> float:
        """Estimated streams per unit of capacity."""
        trust = math.exp2(-self.report_age_s / _REPORT_HALF_LIFE_S)
        reported = trust * self.reported_running
        told = self.own_running + self.others_running
        running = max(reported + self.own_since_report, told)
        # A prompt that is read holds up all streams beside it.
        reading = _READING_WEIGHT * (self.own_reading + self.others_reading)
        return (running + reading) / self.capacity

    @property
    def memory_fill(self) -> float:
        """Part of the memory that may be needed, 0 if not known."""
        return self.tokens / self.memory_tokens if self.memory_tokens else 0
