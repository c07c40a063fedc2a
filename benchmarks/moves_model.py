"""Model of a site's requests during a move, for the policy experiment."""

from __future__ import annotations

import collections
import dataclasses

import numpy as np

from bronzesill.moves import EngineEvidence, Evidence
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

#: Steps into which a move's time is divided.
STEPS = 600
_FIRST_TOKEN_S = 0.25
_FIRST_TOKEN_SIGMA = 0.35
_TOKEN_GAP_S = 0.03
_TOKEN_GAP_SIGMA = 0.25
_FAILURES = 0.01
_ROUTES = ('chat', 'text')
_RARE_ROUTE_SHARE = 0.25
_EDGES = np.array(BUCKET_EDGES_S)


@dataclasses.dataclass(frozen=True)
class Site:
    """
    A site's size.

    :param name: name in the table.
    :param rate: requests a second.
    :param engines: engines of each version.
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
    A new version: good, or bad in one way.

    :param kind: what is the matter, for the table.
    :param is_bad: whether it ought to be taken back.
    :param failures: factor on failures.
    :param first_token: factor on the time to the first token.
    :param token_gap: factor on the time between tokens.
    :param onset: part of the window after which the fault shows.
    :param needs_load: fault shows only from this load of an engine on.
    :param one_route: fault shows only on the rarer route.
    :param sick_engine: whether one of its engines is sick.
    :param cold_requests: first requests of an engine with a cold cache.
    :param bursts: whether the whole site has slow and failing spells.
    :param engine_noise: spread of the engines' speeds.
    :param traffic: factor on the site's requests.
    """

    kind: str
    is_bad: bool = False
    failures: float = 1
    first_token: float = 1
    token_gap: float = 1
    onset: float = 0
    needs_load: float = 0
    one_route: bool = False
    sick_engine: bool = False
    cold_requests: int = 0
    bursts: bool = False
    engine_noise: float = 0.02
    traffic: float = 1


_GOOD = (
    Version('good'),
    Version('good noisy', engine_noise=0.08),
    Version('good bursts', bursts=True),
    Version('good sick engine', sick_engine=True),
    Version('good little traffic', traffic=0.02),
    Version('good cold cache', cold_requests=40),
)
_BAD = (
    Version('failures x2', True, failures=2),
    Version('failures x4', True, failures=4),
    Version('failures x20', True, failures=20),
    Version('first token +50%', True, first_token=1.5),
    Version('first token x2', True, first_token=2),
    Version('token gap +50%', True, token_gap=1.5),
    Version('token gap x2', True, token_gap=2),
)
#: Faults too small to count as bad.
SUBTLE = (
    Version('failures x1.5', True, failures=1.5),
    Version('first token +25%', True, first_token=1.25),
    Version('token gap +25%', True, token_gap=1.25),
)


def draw_version(random: np.random.Generator) -> Version:
    """Draw a version: half are good, the rest bad in some way."""
    if random.random() < 0.5:
        return _GOOD[random.integers(len(_GOOD))]
    if random.random() < 0.15:
        return SUBTLE[random.integers(len(SUBTLE))]
    fault = _BAD[random.integers(len(_BAD))]
    when = random.integers(4)
    if when == 1:
        onset = float(random.uniform(0.02, 0.75))
        return dataclasses.replace(
            fault, kind=f'{fault.kind} later', onset=onset
        )
    if when == 2:
        return dataclasses.replace(
            fault, kind=f'{fault.kind} under load', needs_load=0.7
        )
    if when == 3:
        return dataclasses.replace(
            fault, kind=f'{fault.kind} one route', one_route=True
        )
    return fault


def _histogram(
    random: np.random.Generator, count: int, median_s: float, sigma: float
) -> tuple[int, ...]:
    drawn = random.lognormal(np.log(median_s), sigma, count)
    buckets = np.searchsorted(_EDGES, drawn, side='right')
    counts = np.bincount(buckets, minlength=len(_EDGES) + 1)
    return tuple(int(found) for found in counts)


class Traffic:
    """
    The site's requests during a move.

    :param site: the site.
    :param version: the new version.
    :param random: generator to draw from.
    """

    def __init__(
        self, site: Site, version: Version, random: np.random.Generator
    ) -> None:
        self.site = site
        self.version = version
        self.random = random
        self.speeds = random.lognormal(
            0, version.engine_noise, 2 * site.engines
        )
        self.seen = collections.Counter[str]()
        self.to_new = 0
        self.to_new_after_onset = 0
        self.requests = 0

    def step(self, number: int, share: float) -> dict[str, Evidence]:
        """Draw what is seen during one step."""
        seconds = self.site.window_s / STEPS
        rate = self.site.rate * self.version.traffic
        total = int(self.random.poisson(rate * seconds))
        to_new = int(self.random.binomial(total, share))
        self.requests += total
        self.to_new += to_new
        is_after = number / STEPS >= self.version.onset
        self.to_new_after_onset += to_new if is_after else 0
        burst = 1.0
        if self.version.bursts and self.random.random() < 0.05:
            burst = float(self.random.uniform(1.5, 4))
        found: dict[str, dict[str, EngineEvidence]] = {
            route: {} for route in _ROUTES
        }
        self._draw_side(found, 'v1', total - to_new, burst, is_after, 4, 1.0)
        engines = min(max(2, round(share * self.site.engines)), 8)
        per_engine = (
            share * self.site.engines / max(2, round(share * self.site.engines))
        )
        self._draw_side(
            found, 'v2', to_new, burst, is_after, engines, per_engine
        )
        return {route: Evidence(seen) for route, seen in found.items()}

    def _draw_side(
        self,
        found: dict[str, dict[str, EngineEvidence]],
        version: str,
        requests: int,
        burst: float,
        is_after: bool,
        engines: int,
        load: float,
    ) -> None:
        if not requests:
            return
        split = self.random.multinomial(requests, [1 / engines] * engines)
        for number, count in enumerate(split):
            rare = int(self.random.binomial(count, _RARE_ROUTE_SHARE))
            counts = {_ROUTES[0]: int(count) - rare, _ROUTES[1]: rare}
            for route, part in counts.items():
                if part:
                    name = f'{version}-{number}'
                    found[route][name] = self._draw_engine(
                        version,
                        name,
                        number,
                        route,
                        part,
                        burst,
                        is_after,
                        load,
                    )

    def _draw_engine(
        self,
        version: str,
        name: str,
        number: int,
        route: str,
        count: int,
        burst: float,
        is_after: bool,
        load: float,
    ) -> EngineEvidence:
        speed = float(self.speeds[number + (8 if version == 'v2' else 0)])
        failures, first, gap = _FAILURES * burst, burst * speed, speed
        fault = self.version
        shows = (
            version == 'v2'
            and is_after
            and load >= fault.needs_load
            and (route == _ROUTES[1] or not fault.one_route)
        )
        if shows:
            failures *= fault.failures
            first *= fault.first_token
            gap *= fault.token_gap
        if version == 'v2' and fault.sick_engine and number == 0:
            failures, first, gap = failures * 8, first * 2, gap * 2
        if version == 'v2' and self.seen[name] < fault.cold_requests:
            first *= 2.5
        self.seen[name] += count
        failed = int(self.random.binomial(count, min(failures, 1)))
        return EngineEvidence(
            version,
            count,
            failed,
            _histogram(
                self.random, count, _FIRST_TOKEN_S * first, _FIRST_TOKEN_SIGMA
            ),
            _histogram(
                self.random, count, _TOKEN_GAP_S * gap, _TOKEN_GAP_SIGMA
            ),
        )
