"""Load and health of a backend server as input to server selection."""

from __future__ import annotations

import dataclasses
import math

__all__ = ['ServerView']

_REPORT_HALF_LIFE_S = 4.0
_PREFILL_WEIGHT = 2.0


@dataclasses.dataclass(frozen=True)
class ServerView:
    """
    Snapshot of a backend server's load and health, as known to one daemon.

    :param name: name of the server.
    :param failure_domain: failure domain of the server.
    :param model: model that the server runs.
    :param version: version that the server runs.
    :param capacity: number of concurrent streams the server is sized for.
    :param own_running: streams that this daemon has open on the server.
    :param own_prefilling: those of them whose response has not started.
    :param others_running: open streams reported by the other daemons.
    :param others_prefilling: those of them whose response has not started.
    :param tokens: maximum memory that all of these streams and retained
        copies may need, in tokens.
    :param memory_tokens: memory capacity in tokens, 0 if unknown.
    :param domain_started_at_s: median start time of the servers of the same
        model or service in the failure domain, seconds since the epoch.
    :param own_opened_since_report: streams that this daemon opened since the
        server's last load report.
    :param reported_running: running streams according to that report.
    :param reported_waiting: those of them that wait for a slot.
    :param report_age_s: age of that report in seconds.
    :param is_leaving: whether the server is draining and accepts no new work.
    :param is_suspected: whether the server or its failure domain recently
        failed to respond.
    :param failure_rate: exponentially smoothed fraction of failed requests.
    :param speed: speed relative to the median of the service, 1 if unknown.
    :param slowdown: how many times as long as usual work takes on the server
        now, 1 if unknown.
    :param is_speed_used: whether speed is used for the server's service.
    """

    name: str
    failure_domain: str
    model: str
    version: str
    capacity: int
    own_running: int = 0
    own_prefilling: int = 0
    others_running: int = 0
    others_prefilling: int = 0
    tokens: int = 0
    memory_tokens: int = 0
    domain_started_at_s: float = 0
    own_opened_since_report: int = 0
    reported_running: int = 0
    report_age_s: float = 0
    is_leaving: bool = False
    is_suspected: bool = False
    failure_rate: float = 0
    speed: float = 1
    slowdown: float = 1
    is_speed_used: bool = False
    reported_waiting: int = 0

    @property
    def running(self) -> float:
        """
        Estimated number of streams.

        The weight of the last load report decays with its age.
        """
        report_weight = math.exp2(-self.report_age_s / _REPORT_HALF_LIFE_S)
        reported = report_weight * self.reported_running
        known_running = self.own_running + self.others_running
        return max(reported + self.own_opened_since_report, known_running)

    @property
    def fill(self) -> float:
        """Estimated streams per unit of capacity; it may exceed 1."""
        # Prefill of a prompt delays all concurrent streams on the server.
        prefilling = _PREFILL_WEIGHT * (
            self.own_prefilling + self.others_prefilling
        )
        return (self.running + prefilling) / self.capacity

    @property
    def memory_fill(self) -> float:
        """Fraction of the memory that may be needed, 0 if size is unknown."""
        return self.tokens / self.memory_tokens if self.memory_tokens else 0
