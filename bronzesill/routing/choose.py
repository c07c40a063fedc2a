"""Selection of a backend server for a stream or for a copy of its memory."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from random import Random

from ..utils import rank_by_rendezvous
from .expected_time import ExpectedTime, ServiceRates, StreamSize
from .views import ServerView

__all__ = [
    'Requirements',
    'choose_copy_holder',
    'choose_held_server',
    'choose_prompt_holder',
    'choose_server',
    'count_free',
]

_MEMORY_WEIGHT = 0.5
#: Failure domains whose start times differ by at most this much rank equally.
_START_TOLERANCE_S = 1.0
#: Cost per later-started failure domain, in the unit of ``ServerView.fill``.
_COPY_COST_PER_RANK = 0.2
_RUN_COST_PER_RANK = 0.06
#: Above 1 because runs rarely need their maximum amount of memory.
_MEMORY_FILL_LIMIT = 1.1
#: Affinity applies up to this fill, relative to the mean fill of the servers,
#: or up to the minimum below if that is higher.
_AFFINITY_FILL_RATIO = 1.25
_AFFINITY_MIN_FILL = 0.25
_FILL_LIMIT = 2.0
_RESUME_FILL_LIMIT = 4.0
#: The last available servers of a model are not risked.
_MIN_AVAILABLE = 1
#: Servers whose costs differ by at most this part rank equally, so that hosts
#: which see the same servers don't all choose the same one.
_TIE_PART = 0.03


@dataclasses.dataclass(frozen=True)
class Requirements:
    """
    Constraints and preferences for the server of a stream.

    :param model: requested model.
    :param version: required model version, empty for any.
    :param prefix_key: key of the prompt prefix, used for cache affinity;
        empty for none.
    :param excluded: names of servers that must not be selected.
    :param home_domain: preferred failure domain, empty for none.
    :param is_resume: whether the stream resumes a partial response; such a
        stream may exceed the normal load limits.
    :param copy_holder: name of the server that keeps a copy of the lost run's
        memory, empty for none.
    :param prompt_holder: name of the server that holds the prompt, empty for
        none.
    :param is_usage_shared: whether daemons exchange their server use
        immediately; otherwise load information is stale when it arrives.
    :param size: size of the stream.
    :param rates: rates of the servers where their speed is used; the expected
        time then decides in place of the fill.
    """

    model: str
    version: str
    prefix_key: str = ''
    excluded: frozenset[str] = frozenset()
    home_domain: str = ''
    is_resume: bool = False
    copy_holder: str = ''
    prompt_holder: str = ''
    is_usage_shared: bool = False
    size: StreamSize = dataclasses.field(default_factory=StreamSize)
    rates: ServiceRates | None = None


def choose_copy_holder(
    views: tuple[ServerView, ...],
    requirements: Requirements,
    primary: ServerView,
    random: Random,
) -> ServerView | None:
    """
    Select the server that keeps a copy of a run's memory.

    The copy is placed in a different failure domain than the run, so that a
    single domain failure cannot destroy both.  Domains whose servers started
    most recently are preferred: a domain that has just failed and restarted
    is expected to be the last one to fail again.

    :param views: candidate servers known to this daemon.
    :param requirements: requirements of the stream.
    :param primary: server that runs the stream.
    :param random: random generator for sampling candidates.
    :returns: the selected server, or ``None`` if no server is eligible.
    """
    eligible = [
        view
        for view in _eligible_servers(views, requirements)
        if view.failure_domain != primary.failure_domain
    ]
    if not eligible:
        return None
    domains = _DomainCost(views, _COPY_COST_PER_RANK)
    if requirements.rates is not None:
        expected = _expect(requirements, requirements.rates, eligible)
        costs_s = _ExpectedCosts(expected.copy_cost_s, expected, domains)
        return _pick_fastest(eligible, requirements, costs_s, random)
    return _pick_lowest_cost(eligible, requirements, domains, random)


def choose_server(
    views: tuple[ServerView, ...], requirements: Requirements, random: Random
) -> ServerView | None:
    """
    Select a backend server for a stream.

    The order of preference is: the server that keeps a copy of the run's
    memory, unless it is leaving or suspected; the server that holds the
    prompt; the server with affinity for the prompt prefix, unless its load is
    well above the mean; and the server with the lowest cost.  If load
    information is stale on arrival, the cost is compared between two randomly
    sampled servers only ("power of two choices"), which prevents many daemons
    from selecting the same server right after it reported an idle state.

    :param views: candidate servers known to this daemon.
    :param requirements: requirements of the stream.
    :param random: random generator for sampling candidates.
    :returns: the selected server, or ``None`` if no server is eligible.
    """
    holder = _find_copy_holder(views, requirements)
    if holder is not None:
        return holder
    eligible = _eligible_servers(views, requirements)
    if not eligible:
        return None
    for view in eligible:
        if view.name == requirements.prompt_holder:
            return view
    preferred = _find_prefix_server(eligible, requirements)
    if preferred is not None:
        return preferred
    domains = _DomainCost(views, _RUN_COST_PER_RANK)
    if requirements.rates is not None:
        expected = _expect(requirements, requirements.rates, eligible)
        costs_s = _ExpectedCosts(expected.cost_s, expected, domains)
        return _pick_fastest(eligible, requirements, costs_s, random)
    return _pick_lowest_cost(eligible, requirements, domains, random)


def choose_held_server(
    views: tuple[ServerView, ...], requirements: Requirements, identity: str
) -> ServerView | None:
    """
    Select the only server for a stream that may crash it.

    All daemons choose the same one, and others for other streams: what was on
    a server together comes apart.

    :param views: candidate servers known to this daemon.
    :param requirements: requirements of the stream.
    :param identity: identity of its request.
    :returns: the selected server, or ``None`` if no server is eligible or it
        would be the last one available.
    """
    available = [
        view
        for view in views
        if _can_run(view, requirements) and not view.is_suspected
    ]
    if len(available) <= _MIN_AVAILABLE:
        return None
    views_by_name = {
        view.name: view for view in _eligible_servers(views, requirements)
    }
    ranked = rank_by_rendezvous(identity, tuple(views_by_name))
    return views_by_name[ranked[0]] if ranked else None


def count_free(views: Sequence[ServerView], model: str) -> float:
    """
    Return about how many more streams the servers of a model may be sent.

    :param views: servers known to this daemon.
    :param model: requested model.
    """
    return sum(
        _free_streams(view)
        for view in views
        if view.model == model and not (view.is_leaving or view.is_suspected)
    )


def _free_streams(view: ServerView) -> float:
    by_fill = (_FILL_LIMIT - view.fill) * view.capacity
    if not view.memory_tokens:
        return max(by_fill, 0)
    running = view.own_running + view.others_running
    share = view.memory_tokens / view.capacity
    tokens = view.tokens / running if view.tokens and running else share
    free_tokens = _MEMORY_FILL_LIMIT * view.memory_tokens - view.tokens
    return max(min(by_fill, free_tokens / tokens), 0)


def _eligible_servers(
    views: tuple[ServerView, ...], requirements: Requirements
) -> tuple[ServerView, ...]:
    usable = tuple(
        view
        for view in views
        if _can_run(view, requirements)
        and view.name not in requirements.excluded
    )
    healthy = tuple(view for view in usable if not view.is_suspected)
    candidates = healthy or usable
    fill_limit = _RESUME_FILL_LIMIT if requirements.is_resume else _FILL_LIMIT
    below_limits = tuple(
        view
        for view in candidates
        if view.fill < fill_limit and view.memory_fill < _MEMORY_FILL_LIMIT
    )
    if below_limits or not requirements.is_resume:
        return below_limits
    return candidates


def _can_run(view: ServerView, requirements: Requirements) -> bool:
    return (
        view.model == requirements.model
        and requirements.version in {'', view.version}
        and not view.is_leaving
    )


def _cost(view: ServerView, requirements: Requirements) -> float:
    is_outside_home = bool(requirements.home_domain) and (
        view.failure_domain != requirements.home_domain
    )
    outside_home_cost = int(is_outside_home) / view.capacity
    return view.fill + _MEMORY_WEIGHT * view.memory_fill + outside_home_cost


def _pick_lowest_cost(
    eligible: Sequence[ServerView],
    requirements: Requirements,
    domains: _DomainCost,
    random: Random,
) -> ServerView:
    # Random order breaks ties differently on each daemon; otherwise all daemons
    # would select the first of several servers with equal cost.
    count = (
        len(eligible) if requirements.is_usage_shared else min(2, len(eligible))
    )
    sampled = random.sample(eligible, count)
    if not requirements.is_usage_shared:
        # Daemons that do not see each other's streams would all meet in the
        # domain with the lowest cost.
        return min(sampled, key=lambda view: _cost(view, requirements))
    return min(
        sampled, key=lambda view: _cost(view, requirements) + domains.cost(view)
    )


def _expect(
    requirements: Requirements,
    rates: ServiceRates,
    eligible: Sequence[ServerView],
) -> ExpectedTime:
    return ExpectedTime(
        rates, requirements.size, requirements.home_domain, eligible
    )


def _pick_fastest(
    eligible: Sequence[ServerView],
    requirements: Requirements,
    costs_s: _ExpectedCosts,
    random: Random,
) -> ServerView:
    if not requirements.is_usage_shared:
        sampled = random.sample(eligible, min(2, len(eligible)))
        return min(sampled, key=costs_s.server_s)
    ranked = [(costs_s.total_s(view), view) for view in eligible]
    lowest_s = min(cost_s for cost_s, _ in ranked)
    tied = [
        view for cost_s, view in ranked if cost_s <= lowest_s * (1 + _TIE_PART)
    ]
    return random.choice(tied)


@dataclasses.dataclass(frozen=True)
class _ExpectedCosts:
    """
    Costs of servers in seconds.

    :param server_s: returns the cost of a server without its domain.
    :param expected: expected time of the stream.
    :param domains: costs of the failure domains.
    """

    server_s: Callable[[ServerView], float]
    expected: ExpectedTime
    domains: _DomainCost

    def total_s(self, view: ServerView) -> float:
        """Return the cost of a server with that of its domain."""
        domain_s = self.domains.cost(view) * self.expected.s_per_fill
        return self.server_s(view) + domain_s


class _DomainCost:
    """
    Placement cost of failure domains, ranked by start time.

    The domain whose servers started most recently has cost 0.

    :param views: candidate servers known to this daemon.
    :param cost_per_rank: cost added for each domain that started later.
    """

    def __init__(
        self, views: tuple[ServerView, ...], cost_per_rank: float
    ) -> None:
        self._cost_per_rank = cost_per_rank
        self._started_at_s_by_domain = {
            view.failure_domain: view.domain_started_at_s for view in views
        }

    def cost(self, view: ServerView) -> float:
        """Return the cost of a server's domain, in the unit of its fill."""
        later = [
            started_s
            for started_s in self._started_at_s_by_domain.values()
            if started_s - view.domain_started_at_s > _START_TOLERANCE_S
        ]
        return self._cost_per_rank * len(later)


def _find_copy_holder(
    views: tuple[ServerView, ...], requirements: Requirements
) -> ServerView | None:
    # Load limits do not apply: the copy already occupies memory on this server.
    holders = [
        view
        for view in views
        if view.name == requirements.copy_holder
        and _can_run(view, requirements)
        and not view.is_suspected
    ]
    return holders[0] if holders else None


def _find_prefix_server(
    eligible: tuple[ServerView, ...], requirements: Requirements
) -> ServerView | None:
    if not requirements.prefix_key:
        return None
    views_by_name = {view.name: view for view in eligible}
    ranked = rank_by_rendezvous(requirements.prefix_key, tuple(views_by_name))
    preferred = views_by_name[ranked[0]]
    mean_fill = sum(view.fill for view in eligible) / len(eligible)
    max_fill = max(mean_fill * _AFFINITY_FILL_RATIO, _AFFINITY_MIN_FILL)
    fill_after = preferred.fill + 1 / preferred.capacity
    return preferred if fill_after <= max_fill else None


def choose_prompt_holder(
    prompt_part: str, tokens_by_part_by_server: Mapping[str, Mapping[str, int]]
) -> str:
    """
    Return the server that holds most of a prompt, empty if none holds any.

    :param prompt_part: id of the part that only this prompt contains; the
        parts before it are held by servers of other prompts too.
    :param tokens_by_part_by_server: tokens of each part that each server
        holds.
    """
    tokens_by_server = {
        server: tokens_by_part.get(prompt_part, 0)
        for server, tokens_by_part in tokens_by_part_by_server.items()
    }
    holders = [name for name, tokens in tokens_by_server.items() if tokens]
    return max(holders, key=tokens_by_server.__getitem__, default='')
