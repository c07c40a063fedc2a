"""Reports of evidence that daemons send to the driver of a move."""

import dataclasses

from .evidence import Evidence, ServerEvidence, bucket_of_s

__all__ = [
    'EvidenceEntry',
    'MoveReport',
    'MoveReportReply',
    'Observation',
    'ObservationLog',
    'evidence_of',
]

_EMPTY = ServerEvidence('').first_token


@dataclasses.dataclass(frozen=True)
class Observation:
    """
    Observation of one attempt or call, or of a part of it.

    :param subject: model or plain service.
    :param route: route of the request.
    :param server: name of the backend server.
    :param version: version that the server ran.
    :param is_end: whether the attempt or call has ended.
    :param is_failed: whether it ended with a failure.
    :param first_token_s: seconds to the first token or to the answer, none
        if not part of this observation.
    :param token_gap_s: mean seconds between tokens, none if not part of this
        observation.
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
    Counts of one server on one route, with sparse histograms.

    :param route: route of the requests.
    :param server: name of the backend server.
    :param version: version that the server ran.
    :param requests: number of finished requests, including failed ones.
    :param failures: number of failed requests.
    :param first_token: histogram of the time to the first token: bucket,
        count, bucket, count and so on, without empty buckets.
    :param token_gap: histogram of the time between tokens, in the same form.
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
    Evidence of one daemon on a move since its last report.

    :param move_id: identifier of the move.
    :param sender: name of the daemon.
    :param entries: counts by route and server.
    """

    move_id: str
    sender: str
    entries: tuple[EvidenceEntry, ...]


@dataclasses.dataclass(frozen=True)
class MoveReportReply:
    """
    Answer to a report.

    :param is_driver: whether the answering daemon drives the move.
    """

    is_driver: bool


class ObservationLog:
    """Counts of one daemon since its last report, by subject and route."""

    def __init__(self) -> None:
        self._evidence: dict[str, dict[str, Evidence]] = {}

    def add(self, observation: Observation) -> None:
        """Add an observation to the counts of its subject and route."""
        counts = ServerEvidence(
            version=observation.version,
            requests=int(observation.is_end),
            failures=int(observation.is_failed),
            first_token=_single_count(observation.first_token_s),
            token_gap=_single_count(observation.token_gap_s),
        )
        routes = self._evidence.setdefault(observation.subject, {})
        before = routes.get(observation.route, Evidence())
        routes[observation.route] = before.plus(
            Evidence({observation.server: counts})
        )

    def drain(self, subject: str) -> tuple[EvidenceEntry, ...]:
        """Return the counts of a subject and reset them."""
        routes = self._evidence.pop(subject, {})
        return tuple(
            _make_entry(route, server, counts)
            for route, evidence in routes.items()
            for server, counts in evidence.by_server.items()
        )

    def clear(self) -> None:
        """Reset all counts; those of subjects without a move are not sent."""
        self._evidence.clear()


def evidence_of(entries: tuple[EvidenceEntry, ...]) -> dict[str, Evidence]:
    """Return the evidence in the entries of a report, by route."""
    by_route: dict[str, Evidence] = {}
    for entry in entries:
        counts = ServerEvidence(
            version=entry.version,
            requests=entry.requests,
            failures=entry.failures,
            first_token=_dense(entry.first_token),
            token_gap=_dense(entry.token_gap),
        )
        before = by_route.get(entry.route, Evidence())
        by_route[entry.route] = before.plus(Evidence({entry.server: counts}))
    return by_route


def _single_count(latency_s: float | None) -> tuple[int, ...]:
    if latency_s is None:
        return _EMPTY
    counts = list(_EMPTY)
    counts[bucket_of_s(latency_s)] = 1
    return tuple(counts)


def _make_entry(
    route: str, server: str, counts: ServerEvidence
) -> EvidenceEntry:
    return EvidenceEntry(
        route=route,
        server=server,
        version=counts.version,
        requests=counts.requests,
        failures=counts.failures,
        first_token=_sparse(counts.first_token),
        token_gap=_sparse(counts.token_gap),
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
