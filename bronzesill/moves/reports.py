"""What daemons tell the driver of a move."""

import dataclasses

from .evidence import EngineEvidence, Evidence, bucket_of_s

__all__ = [
    'EvidenceEntry',
    'MoveReport',
    'Observation',
    'ObservationLog',
    'ReportTaken',
    'evidence_of',
]

_EMPTY = EngineEvidence('').first_token


@dataclasses.dataclass(frozen=True)
class Observation:
    """
    What was seen of one attempt or call; parts not seen are left out.

    :param subject: model or plain service.
    :param route: way in which it was asked for.
    :param server: backend server.
    :param version: version that the server ran.
    :param is_end: whether the attempt or call ended.
    :param is_failed: whether it ended badly.
    :param first_token_s: seconds to the first token or to the answer.
    :param token_gap_s: mean seconds between tokens.
    """

    subject: str
    route: str
    server: str
    version: str
    is_end: bool = False
    is_failed: bool = False
    first_token_s: float | None = None
    token_gap_s: float | None = None


@dataclasses.dataclass(frozen=True)
class EvidenceEntry:
    """
    Evidence of one server on one route, histograms as pairs.

    :param route: the route.
    :param server: name of the backend server.
    :param version: version it ran.
    :param requests: requests that ended.
    :param failures: failures among them.
    :param first_token: bucket, count, bucket, count and so on.
    :param token_gap: the same for the time between tokens.
    """

    route: str
    server: str
    version: str
    requests: int
    failures: int
    first_token: tuple[int, ...] = ()
    token_gap: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class MoveReport:
    """
    What one daemon saw of a move's versions since its last report.

    :param move_id: name of the move.
    :param sender: name of the daemon.
    :param entries: evidence by route and server.
    """

    move_id: str
    sender: str
    entries: tuple[EvidenceEntry, ...]


@dataclasses.dataclass(frozen=True)
class ReportTaken:
    """
    Answer to a report.

    :param is_driver: whether the daemon drives the move.
    """

    is_driver: bool


class ObservationLog:
    """Observations of one daemon since the last report, by subject."""

    def __init__(self) -> None:
        self._evidence: dict[str, dict[str, Evidence]] = {}

    def add(self, seen: Observation) -> None:
        """Take in an observation."""
        found = EngineEvidence(
            version=seen.version,
            requests=int(seen.is_end),
            failures=int(seen.is_failed),
            first_token=_single(seen.first_token_s),
            token_gap=_single(seen.token_gap_s),
        )
        routes = self._evidence.setdefault(seen.subject, {})
        before = routes.get(seen.route, Evidence())
        routes[seen.route] = before.plus(Evidence({seen.server: found}))

    def take(self, subject: str) -> tuple[EvidenceEntry, ...]:
        """Return what was seen of a subject and forget it."""
        routes = self._evidence.pop(subject, {})
        return tuple(
            _entry(route, server, found)
            for route, evidence in routes.items()
            for server, found in evidence.by_engine.items()
        )

    def clear(self) -> None:
        """Forget what nobody asks for."""
        self._evidence.clear()


def evidence_of(entries: tuple[EvidenceEntry, ...]) -> dict[str, Evidence]:
    """Return the evidence by route that a report tells of."""
    by_route: dict[str, Evidence] = {}
    for entry in entries:
        found = EngineEvidence(
            version=entry.version,
            requests=entry.requests,
            failures=entry.failures,
            first_token=_dense(entry.first_token),
            token_gap=_dense(entry.token_gap),
        )
        before = by_route.get(entry.route, Evidence())
        by_route[entry.route] = before.plus(Evidence({entry.server: found}))
    return by_route


def _single(latency_s: float | None) -> tuple[int, ...]:
    if latency_s is None:
        return _EMPTY
    counts = list(_EMPTY)
    counts[bucket_of_s(latency_s)] = 1
    return tuple(counts)


def _entry(route: str, server: str, found: EngineEvidence) -> EvidenceEntry:
    return EvidenceEntry(
        route=route,
        server=server,
        version=found.version,
        requests=found.requests,
        failures=found.failures,
        first_token=_sparse(found.first_token),
        token_gap=_sparse(found.token_gap),
    )


def _sparse(histogram: tuple[int, ...]) -> tuple[int, ...]:
    pairs: list[int] = []
    for bucket, count in enumerate(histogram):
        if count:
            pairs.extend((bucket, count))
    return tuple(pairs)


def _dense(pairs: tuple[int, ...]) -> tuple[int, ...]:
    counts = list(_EMPTY)
    for bucket, count in zip(pairs[::2], pairs[1::2], strict=False):
        if 0 <= bucket < len(counts):
            counts[bucket] += count
    return tuple(counts)
