"""
Evidence that a part of a prompt crashes servers.

A server that crashes takes all its streams with it, so a lost stream says
little.  A sound part is soon answered elsewhere; a part that crashes servers
never is.  Evidence against a part is therefore the crashes since an answer on
it last began, anywhere in the fleet.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import field

__all__ = ['EvidenceTable', 'PartEvidence', 'PromptCrash']

#: Crashes with separate causes that condemn a part.
_MIN_CRASHES = 3
#: Requests that must have been on these servers.
_MIN_REQUESTS = 2
#: Crashes within this time may have one cause, such as a failure domain.
_MOMENT_S = 0.2
#: Reports of one crash may differ by this time.
_REPORT_SPREAD_S = 0.05
#: Evidence is dropped after this time without another crash.
_VALID_S = 60.0
#: Bounds the memory that callers can make a daemon use.
_MAX_PARTS = 1024


@dataclasses.dataclass(frozen=True)
class PromptCrash:
    """
    Loss of a server before it began an answer.

    All times are in seconds on one clock.

    :param server: name of the server.
    :param request: id of the request that waited for the answer.
    :param at_s: time of the loss.
    :param companions: other parts of its prompt that may be the cause.
    :param began_at_s: time at which the request was sent to the server.
    :param failure_domain: failure domain of the server, empty if unknown.
    """

    server: str
    request: str
    at_s: float
    companions: frozenset[str] = frozenset()
    began_at_s: float = -math.inf
    failure_domain: str = ''

    def is_apart_from(self, earlier: PromptCrash) -> bool:
        """Return whether servers were not lost together, by one cause."""
        return self.at_s > earlier.at_s + _MOMENT_S

    def follows(self, earlier: PromptCrash) -> bool:
        """
        Return whether the part came to this server from a lost one.

        If the servers are of two failure domains, the part is what they have
        in common, even if they were lost within a moment.
        """
        has_followed = self.began_at_s >= earlier.at_s - _REPORT_SPREAD_S
        return has_followed and self.failure_domain != earlier.failure_domain


@dataclasses.dataclass(frozen=True)
class PartEvidence:
    """
    Crashes with one part of a prompt since an answer on it last began.

    :param crashes: one crash for each server, oldest first.
    :param requests: ids of requests that were lost with them.
    :param companions: parts that all these requests contain too, and that may
        be the cause just as well.
    :param started_at_s: time at which an answer last began.
    """

    crashes: tuple[PromptCrash, ...] = ()
    requests: frozenset[str] = frozenset()
    companions: frozenset[str] = frozenset()
    started_at_s: float = -math.inf

    @property
    def is_suspected(self) -> bool:
        """Whether one more crash may condemn the part."""
        return self._count_separate() >= _MIN_CRASHES - 1

    @property
    def is_conclusive(self) -> bool:
        """Whether the part is taken to crash servers."""
        has_requests = len(self.requests) >= _MIN_REQUESTS
        return has_requests and self._count_separate() >= _MIN_CRASHES

    @property
    def last_crash_at_s(self) -> float:
        """Time of the last crash."""
        return max((crash.at_s for crash in self.crashes), default=-math.inf)

    def with_crash(self, crash: PromptCrash) -> PartEvidence:
        """Return the evidence with a crash; older ones that lapsed go."""
        if crash.at_s <= self.started_at_s:
            return self
        valid = self._since(crash.at_s - _VALID_S)
        return PartEvidence(
            _with_server(valid.crashes, crash),
            valid.requests | {crash.request},
            valid.companions & crash.companions
            if valid.crashes
            else crash.companions,
            self.started_at_s,
        )

    def with_start(self, started_at_s: float) -> PartEvidence:
        """Return the evidence after an answer began, which clears the part."""
        if started_at_s <= self.started_at_s:
            return self
        since = self._since(started_at_s)
        return dataclasses.replace(since, started_at_s=started_at_s)

    def _since(self, since_s: float) -> PartEvidence:
        kept = tuple(crash for crash in self.crashes if crash.at_s > since_s)
        if len(kept) == len(self.crashes):
            return self
        requests = frozenset(crash.request for crash in kept)
        return dataclasses.replace(self, crashes=kept, requests=requests)

    def _count_separate(self) -> int:
        counted: list[PromptCrash] = []
        for crash in self.crashes:
            if not counted or self._is_separate(counted[-1], crash):
                counted.append(crash)
        return len(counted)

    def _is_separate(self, earlier: PromptCrash, crash: PromptCrash) -> bool:
        if crash.is_apart_from(earlier):
            return True
        # What was answered before is more likely to have been there only.
        is_never_answered = self.started_at_s == -math.inf
        return is_never_answered and crash.follows(earlier)


def _with_server(
    crashes: tuple[PromptCrash, ...], crash: PromptCrash
) -> tuple[PromptCrash, ...]:
    others = [known for known in crashes if known.server != crash.server]
    same = [known for known in crashes if known.server == crash.server]
    merged = dataclasses.replace(
        crash,
        at_s=min(loss.at_s for loss in (*same, crash)),
        # The last request that was sent to it tells most.
        began_at_s=max(loss.began_at_s for loss in (*same, crash)),
    )
    return tuple(sorted((*others, merged), key=lambda loss: loss.at_s))


@dataclasses.dataclass(frozen=True)
class EvidenceTable:
    """
    Evidence against all parts with recent crashes.

    :param by_part: evidence by id of the part, the last changed one last.
    """

    by_part: Mapping[str, PartEvidence] = field(default_factory=dict)

    def evidence(self, part: str) -> PartEvidence:
        """Return the evidence against a part."""
        return self.by_part.get(part, PartEvidence())

    def with_crash(self, part: str, crash: PromptCrash) -> EvidenceTable:
        """Return the table with a crash; the oldest parts are dropped."""
        return self._with(part, self.evidence(part).with_crash(crash))

    def with_start(self, part: str, started_at_s: float) -> EvidenceTable:
        """Return the table after an answer on a part began."""
        return self._with(part, self.evidence(part).with_start(started_at_s))

    def _with(self, part: str, evidence: PartEvidence) -> EvidenceTable:
        others = {
            known: kept for known, kept in self.by_part.items() if known != part
        }
        excess = len(others) - _MAX_PARTS + 1
        for oldest in tuple(others)[: max(excess, 0)]:
            others.pop(oldest)
        return EvidenceTable({**others, part: evidence})
