"""Simulated traffic of a site during a move, for the policy experiment."""

from __future__ import annotations

import collections
import dataclasses

import numpy as np

from bronzesill.moves import Evidence, ServerEvidence
from bronzesill.moves.evidence import BUCKET_EDGES_S

__all__ = [
    'SITES',
    'STEPS',
    'SUBTLE',
    'Site',
    'Traffic',
    'Version',
    'draw_version',
]

#: Number of simulation steps between creation and deadline of a move.
STEPS = 600
_FIRST_TOKEN_S = 0.25
_FIRST_TOKEN_SIGMA = 0.35
_TOKEN_GAP_S = 0.03
_TOKEN_GAP_SIGMA = 0.25
_FAILURE_RATE = 0.01
_ROUTES = ('chat', 'text')
_RARE_ROUTE_FRACTION = 0.25
_BUCKET_EDGES = np.array(BUCKET_EDGES_S)


@dataclasses.dataclass(frozen=True)
class Site:
    """
    Size of a simulated site.

    :param name: name in the printed table.
    :param rate: requests per second.
    :param engines: number of engines of each version.
    :param window_s: seconds from a move's creation to its deadline.
    """

    name: str
    rate: float
    engines: int
    window_s: float


SITES = (
    Site('kartuli', 4, 15, 24 * 3600),
    Site('ailsa', 3, 12, 24 * 3600),
    Site('target', 325, 150, 2 * 3600),
)


@dataclasses.dataclass(frozen=True)
class Version:
    """
    Simulated new version, either good or with one fault.

    :param kind: description of the fault, for the printed table.
    :param is_bad: whether the move should be rolled back.
    :param failure_factor: factor on the failure rate.
    :param first_token_factor: factor on the time to the first token.
    :param token_gap_factor: factor on the time between tokens.
    :param onset: fraction of the window after which the fault is active.
    :param min_load: lowest relative load of an engine at which the fault is
        active.
    :param only_on_rare_route: whether the fault affects only the route with
        less traffic.
    :param has_faulty_engine: whether one engine fails more often and is
        slower than the others.
    :param cold_cache_requests: number of slow first requests of each engine,
        before its cache is warm.
    :param has_bursts: whether both versions have periods with more failures
        and longer times to the first token.
    :param engine_speed_sigma: sigma of the log-normal distribution of the
        engines' latency factors.
    :param traffic_factor: factor on the site's request rate.
    """

    kind: str
    is_bad: bool = False
    failure_factor: float = 1
    first_token_factor: float = 1
    token_gap_factor: float = 1
    onset: float = 0
    min_load: float = 0
    only_on_rare_route: bool = False
    has_faulty_engine: bool = False
    cold_cache_requests: int = 0
    has_bursts: bool = False
    engine_speed_sigma: float = 0.02
    traffic_factor: float = 1


_GOOD = (
    Version('good'),
    Version('good noisy', engine_speed_sigma=0.08),
    Version('good bursts', has_bursts=True),
    Version('good sick engine', has_faulty_engine=True),
    Version('good little traffic', traffic_factor=0.02),
    Version('good cold cache', cold_cache_requests=40),
)
_BAD = (
    Version('failures x2', True, failure_factor=2),
    Version('failures x4', True, failure_factor=4),
    Version('failures x20', True, failure_factor=20),
    Version('first token +50%', True, first_token_factor=1.5),
    Version('first token x2', True, first_token_factor=2),
    Version('token gap +50%', True, token_gap_factor=1.5),
    Version('token gap x2', True, token_gap_factor=2),
)
#: Faults so small that the summary does not count the version as bad.
SUBTLE = (
    Version('failures x1.5', True, failure_factor=1.5),
    Version('first token +25%', True, first_token_factor=1.25),
    Version('token gap +25%', True, token_gap_factor=1.25),
)


def draw_version(random: np.random.Generator) -> Version:
    """
    Draw a new version.

    Half of the versions are good; the others have a fault, which may start
    late, or be active only under load or on one route.
    """
    if random.random() < 0.5:
        return _GOOD[random.integers(len(_GOOD))]
    if random.random() < 0.15:
        return SUBTLE[random.integers(len(SUBTLE))]
    fault = _BAD[random.integers(len(_BAD))]
    fault_variant = random.integers(4)
    if fault_variant == 1:
        onset = float(random.uniform(0.02, 0.75))
        return dataclasses.replace(
            fault, kind=f'{fault.kind} later', onset=onset
        )
    if fault_variant == 2:
        return dataclasses.replace(
            fault, kind=f'{fault.kind} under load', min_load=0.7
        )
    if fault_variant == 3:
        return dataclasses.replace(
            fault, kind=f'{fault.kind} one route', only_on_rare_route=True
        )
    return fault


def _histogram(
    random: np.random.Generator, count: int, median_s: float, sigma: float
) -> tuple[int, ...]:
    latencies_s = random.lognormal(np.log(median_s), sigma, count)
    buckets = np.searchsorted(_BUCKET_EDGES, latencies_s, side='right')
    counts = np.bincount(buckets, minlength=len(_BUCKET_EDGES) + 1)
    return tuple(int(bucket_count) for bucket_count in counts)


class Traffic:
    """
    Generates a site's requests during a move and counts them.

    :param site: simulated site.
    :param version: new version.
    :param random: random number generator.
    """

    def __init__(
        self, site: Site, version: Version, random: np.random.Generator
    ) -> None:
        self.site = site
        self.version = version
        self.random = random
        self.latency_factors = random.lognormal(
            0, version.engine_speed_sigma, 2 * site.engines
        )
        self.requests_by_engine = collections.Counter[str]()
        self.new_version_requests = 0
        self.new_version_requests_after_onset = 0
        self.requests = 0

    def step(self, number: int, share: float) -> dict[str, Evidence]:
        """
        Draw the evidence of one step.

        :param number: number of the step, below :data:`STEPS`.
        :param share: share of the requests sent to the new version, 0 to 1.
        :returns: evidence of both versions by route.
        """
        seconds = self.site.window_s / STEPS
        rate = self.site.rate * self.version.traffic_factor
        total = int(self.random.poisson(rate * seconds))
        new_version_requests = int(self.random.binomial(total, share))
        self.requests += total
        self.new_version_requests += new_version_requests
        is_past_onset = number / STEPS >= self.version.onset
        self.new_version_requests_after_onset += (
            new_version_requests if is_past_onset else 0
        )
        burst_factor = 1.0
        if self.version.has_bursts and self.random.random() < 0.05:
            burst_factor = float(self.random.uniform(1.5, 4))
        evidence_by_route: dict[str, dict[str, ServerEvidence]] = {
            route: {} for route in _ROUTES
        }
        self._draw_version_evidence(
            evidence_by_route,
            'v1',
            total - new_version_requests,
            burst_factor,
            is_past_onset,
            4,
            1.0,
        )
        engines = min(max(2, round(share * self.site.engines)), 8)
        load_per_engine = (
            share * self.site.engines / max(2, round(share * self.site.engines))
        )
        self._draw_version_evidence(
            evidence_by_route,
            'v2',
            new_version_requests,
            burst_factor,
            is_past_onset,
            engines,
            load_per_engine,
        )
        return {
            route: Evidence(by_server)
            for route, by_server in evidence_by_route.items()
        }

    def _draw_version_evidence(
        self,
        evidence_by_route: dict[str, dict[str, ServerEvidence]],
        version: str,
        requests: int,
        burst_factor: float,
        is_past_onset: bool,
        engines: int,
        load: float,
    ) -> None:
        if not requests:
            return
        requests_per_engine = self.random.multinomial(
            requests, [1 / engines] * engines
        )
        for number, count in enumerate(requests_per_engine):
            rare_requests = int(
                self.random.binomial(count, _RARE_ROUTE_FRACTION)
            )
            requests_by_route = {
                _ROUTES[0]: int(count) - rare_requests,
                _ROUTES[1]: rare_requests,
            }
            for route, route_requests in requests_by_route.items():
                if route_requests:
                    name = f'{version}-{number}'
                    evidence_by_route[route][name] = self._draw_engine_evidence(
                        version,
                        name,
                        number,
                        route,
                        route_requests,
                        burst_factor,
                        is_past_onset,
                        load,
                    )

    def _draw_engine_evidence(
        self,
        version: str,
        name: str,
        number: int,
        route: str,
        count: int,
        burst_factor: float,
        is_past_onset: bool,
        load: float,
    ) -> ServerEvidence:
        latency_factor = float(
            self.latency_factors[number + (8 if version == 'v2' else 0)]
        )
        failure_rate, first_token_factor, token_gap_factor = (
            _FAILURE_RATE * burst_factor,
            burst_factor * latency_factor,
            latency_factor,
        )
        fault = self.version
        is_fault_active = (
            version == 'v2'
            and is_past_onset
            and load >= fault.min_load
            and (route == _ROUTES[1] or not fault.only_on_rare_route)
        )
        if is_fault_active:
            failure_rate *= fault.failure_factor
            first_token_factor *= fault.first_token_factor
            token_gap_factor *= fault.token_gap_factor
        if version == 'v2' and fault.has_faulty_engine and number == 0:
            failure_rate, first_token_factor, token_gap_factor = (
                failure_rate * 8,
                first_token_factor * 2,
                token_gap_factor * 2,
            )
        if (
            version == 'v2'
            and self.requests_by_engine[name] < fault.cold_cache_requests
        ):
            first_token_factor *= 2.5
        self.requests_by_engine[name] += count
        failed = int(self.random.binomial(count, min(failure_rate, 1)))
        return ServerEvidence(
            version,
            count,
            failed,
            _histogram(
                self.random,
                count,
                _FIRST_TOKEN_S * first_token_factor,
                _FIRST_TOKEN_SIGMA,
            ),
            _histogram(
                self.random,
                count,
                _TOKEN_GAP_S * token_gap_factor,
                _TOKEN_GAP_SIGMA,
            ),
        )
