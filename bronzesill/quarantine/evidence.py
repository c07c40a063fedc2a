"""
Evidence that a suspect crashes servers.

A suspect is a request, known by its identity, or a part of a prompt.  A server
that crashes takes all its requests with it, so a lost request says little.  A
sound suspect is soon answered elsewhere; one that crashes servers never is.
Evidence against a suspect is therefore the crashes since an answer to it last
began, anywhere in the fleet.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import field

from .identity import is_part, shares_parts

__all__ = ['Crash', 'Evidence', 'EvidenceTable']

#: Crashes with separate causes that condemn a suspect.
_MIN_CRASHES = 3
#: A request that shares parts with others has more company to be lost with.
_MIN_CRASHES_OF_SHARING = 4
#: Different requests that must have met crashes before a part that they share
#: is blamed, and not one of them.
_MIN_REQUESTS_OF_PART = 2
#: Crashes within this time may have one cause, such as a failure domain.
_MOMENT_S = 0.2
#: Reports of one crash may differ by this time.
_REPORT_SPREAD_S = 0.05
#: Evidence is dropped after this time without another crash.
_VALID_S = 60.0
#: Bounds the memory that callers can make a daemon use.
_MAX_SUSPECTS = 1024


@dataclasses.dataclass(frozen=True)
class Crash:
    """
    End of a server before it answered a request with a suspect.

    All times are in seconds on one clock.

    :param server: name of the server.
    :param request: identity of the request.
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

    def is_apart_from(self, earlier: Crash) -> bool:
        """Return whether servers were not lost together, by one cause."""
        return self.at_s > earlier.at_s + _MOMENT_S

    def follows(self, earlier: Crash) -> bool:
        """
        Return whether the suspect came to this server from a lost one.

        If the servers are of two failure domains, the suspect is what they
        have in common, even if they were lost within a moment.
        """
        has_followed = self.began_at_s >= earlier.at_s - _REPORT_SPREAD_S
        return has_followed and self.failure_domain != earlier.failure_domain


@dataclasses.dataclass(frozen=True)
class Evidence:
    """
    Crashes with one suspect since an answer to it last began.

    :param crashes: one crash for each server, oldest first.
    :param requests: identities of the requests that were lost with them.
    :param companions: parts that all these requests contain too, and that may
        be the cause just as well.
    :param started_at_s: time at which an answer last began.
    :param min_requests: different requests that condemn the suspect.
    :param min_crashes: separate crashes that condemn the suspect.
    """

    crashes: tuple[Crash, ...] = ()
    requests: frozenset[str] = frozenset()
    companions: frozenset[str] = frozenset()
    started_at_s: float = -math.inf
    min_requests: int = _MIN_REQUESTS_OF_PART
    min_crashes: int = _MIN_CRASHES

    @property
    def is_suspected(self) -> bool:
        """Whether one more crash may condemn the suspect."""
        return self._count_separate() >= self.min_crashes - 1

    @property
    def is_conclusive(self) -> bool:
        """Whether the suspect is taken to crash servers."""
        has_requests = len(self.requests) >= self.min_requests
        return has_requests and self._count_separate() >= self.min_crashes

    @property
    def last_crash_at_s(self) -> float:
        """Time of the last crash."""
        return max((crash.at_s for crash in self.crashes), default=-math.inf)

    def with_crash(self, crash: Crash) -> Evidence:
        """Return the evidence with a crash; older ones that lapsed go."""
        if crash.at_s <= self.started_at_s:
            return self
        valid = self._since(crash.at_s - _VALID_S)
        companions = (
            valid.companions & crash.companions
            if valid.crashes
            else crash.companions
        )
        return dataclasses.replace(
            valid,
            crashes=_with_server(valid.crashes, crash),
            requests=valid.requests | {crash.request},
            companions=companions,
        )

    def with_start(self, started_at_s: float) -> Evidence:
        """Return the evidence after an answer began, which clears it."""
        if started_at_s <= self.started_at_s:
            return self
        since = self._since(started_at_s)
        return dataclasses.replace(since, started_at_s=started_at_s)

    def _since(self, since_s: float) -> Evidence:
        kept = tuple(crash for crash in self.crashes if crash.at_s > since_s)
        if len(kept) == len(self.crashes):
            return self
        requests = frozenset(crash.request for crash in kept)
        return dataclasses.replace(self, crashes=kept, requests=requests)

    def _count_separate(self) -> int:
        counted: list[Crash] = []
        for crash in self.crashes:
            if not counted or self._is_separate(counted[-1], crash):
                counted.append(crash)
        return len(counted)

    def _is_separate(self, earlier: Crash, crash: Crash) -> bool:
        if crash.is_apart_from(earlier):
            return True
        # What was answered before is more likely to have been there only.
        is_never_answered = self.started_at_s == -math.inf
        return is_never_answered and crash.follows(earlier)


def _with_server(crashes: tuple[Crash, ...], crash: Crash) -> tuple[Crash, ...]:
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
    Evidence against all suspects with recent crashes.

    :param by_suspect: evidence by suspect, the last changed one last.
    """

    by_suspect: Mapping[str, Evidence] = field(default_factory=dict)

    def evidence(self, suspect: str) -> Evidence:
        """Return the evidence against a suspect."""
        known = self.by_suspect.get(suspect)
        if known is not None:
            return known
        if is_part(suspect):
            return Evidence()
        if shares_parts(suspect):
            return Evidence(min_requests=1, min_crashes=_MIN_CRASHES_OF_SHARING)
        return Evidence(min_requests=1)

    def with_crash(self, suspect: str, crash: Crash) -> EvidenceTable:
        """Return the table with a crash; the oldest suspects are dropped."""
        return self._with(suspect, self.evidence(suspect).with_crash(crash))

    def with_start(self, suspect: str, started_at_s: float) -> EvidenceTable:
        """Return the table after an answer to a suspect began."""
        evidence = self.evidence(suspect).with_start(started_at_s)
        return self._with(suspect, evidence)

    def _with(self, suspect: str, evidence: Evidence) -> EvidenceTable:
        others = {
            known: kept
            for known, kept in self.by_suspect.items()
            if known != suspect
        }
        excess = len(others) - _MAX_SUSPECTS + 1
        for oldest in tuple(others)[: max(excess, 0)]:
            others.pop(oldest)
        return EvidenceTable({**others, suspect: evidence})
