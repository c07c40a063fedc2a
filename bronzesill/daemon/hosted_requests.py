"""Composition of the components that process the requests of callers."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from random import Random
from typing import Any

from ..calls import (
    AtMostOnceCalls,
    CallResult,
    ForwardSender,
    IdempotentCalls,
    ServiceServers,
)
from ..config import HostedSettings
from ..gateway import (
    ForwardComponents,
    ForwardResource,
    GatewayState,
    make_forward_app,
)
from ..generations import (
    AttemptObservation,
    AttemptPlacer,
    ForwardStreamClient,
    GenerationRequest,
    GenerationsController,
    LocalDirectory,
    LocationTable,
    WaitingStreams,
)
from ..limits import FleetRetryAllowance, RetryBounds
from ..limits.waiting import WaitingRequests
from ..platform.headers import PlatformDialect
from ..platform.prompts import fetch_held_parts
from ..platform.store import PlatformStore
from ..routing import LoadReport, ServerTracker, WaitingCount, count_free
from ..upstream import AnswerHead, ConnectionPool, MemoryUse
from ..utils import PrometheusMetrics
from .hosted_fleet import HostedFleet
from .hosted_moves import HostedTraffic
from .hosted_store_state import HostedStoreState
from .prompt_finder import PromptFinder
from .quarantine import Quarantine
from .restart_detector import RestartDetector
from .server_limiter import ServerLimiter
from .service_metrics import ServiceMetrics
from .usage_exchange import UsageExchange

__all__ = ['HostedRequests', 'RequestContext']

#: Servers lost under a stream from which on it does not risk the last one.
_MANY_LOSSES = 2


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """
    Components of a daemon that the processing of requests uses.

    :param settings: settings of this host.
    :param state: configuration in force.
    :param tracker: state of the backend servers.
    :param store_state: the listed servers.
    :param pool: pool of connections to backend servers.
    :param dialect: names and formats of headers.
    :param traffic: selection of the version that serves a request.
    :param restart_detector: is notified of answers of backend servers.
    :param metrics: receives counters and latencies.
    :param random: generator for random choices and jitter.
    :param usage_exchange: engine use of the other daemons.
    :param quarantine: requests that crash servers.
    :param fleet: the live daemons.
    :param store: client of the store, for metrics.
    :param log_start_step: logs that a step of the start is reached.
    """

    settings: HostedSettings
    state: GatewayState
    tracker: ServerTracker
    store_state: HostedStoreState
    pool: ConnectionPool
    dialect: PlatformDialect
    traffic: HostedTraffic
    restart_detector: RestartDetector
    metrics: PrometheusMetrics
    random: Random
    usage_exchange: UsageExchange
    quarantine: Quarantine
    fleet: HostedFleet
    store: PlatformStore
    log_start_step: Callable[[str], None]


class HostedRequests:
    """
    Builds the application that serves callers.

    :param context: components of the daemon.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._limiter = ServerLimiter(
            context.settings.name, context.fleet.live_peers
        )
        context.tracker.limiter = self._limiter
        self._generations: GenerationsController | None = None
        service_metrics = ServiceMetrics(context.tracker, context.metrics)
        context.pool.direct.counts.on_attempt = service_metrics.count_attempt
        #: Requests that wait until a server has room.
        self.waiting = WaitingRequests(context.random, context.metrics)
        self.waiting.find_weight = self._find_weight
        self.waiting.count_free = self._count_free
        self.waiting.count_others = self._count_others
        self.waiting.count_hosts = self._count_hosts
        context.tracker.list_waiting = self._list_waiting

    def log_unfinished(self) -> int:
        """Log the streams that end with this host; return their number."""
        if self._generations is None:
            return 0
        return self._generations.log_unfinished()

    def make_app(self) -> Any:
        """Return the ASGI application for callers."""
        context = self._context
        servers = ServiceServers(
            context.tracker,
            context.traffic.service_split,
            self._record_call,
            context.random,
            context.quarantine,
        )
        servers.refresh_usage = context.usage_exchange.refresh
        servers.has_room = context.pool.open_bytes.has_room
        context.pool.on_invalid = self._record_invalid
        sender = ForwardSender(
            context.pool, context.dialect, servers, self._process_answer_head
        )
        servers.has_connection = sender.has_connection
        servers.host = context.settings.name
        context.pool.saves_connections = context.tracker.speeds.is_known_for
        allowance = self._make_allowance()
        self._generations = self._make_generations(allowance)
        components = ForwardComponents(
            context.dialect,
            self._generations,
            IdempotentCalls(sender, servers, allowance),
            AtMostOnceCalls(sender, servers),
            context.random,
            context.metrics,
            context.pool.memory,
        )
        return make_forward_app(ForwardResource(context.state, components))

    def _record_invalid(self, server: str, reason: str) -> None:
        self._context.metrics.incr(f'answers.invalid.{reason}')

    def _make_allowance(self) -> FleetRetryAllowance:
        bounds = self._context.settings.bounds
        return FleetRetryAllowance(
            RetryBounds(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            ),
            self._count_hosts,
        )

    def _count_hosts(self) -> int:
        return len(self._context.fleet.live_peers()) + 1

    def _make_generations(
        self, allowance: FleetRetryAllowance
    ) -> GenerationsController:
        context = self._context
        generations = GenerationsController(
            context.settings.name,
            context.settings.failure_domain,
            context.tracker,
            self._make_stream_client(),
            LocalDirectory(LocationTable()),
            context.metrics,
            context.random,
        )
        generations.memory = context.pool.memory
        generations.servers.keeps_copies = self._keeps_copies
        generations.servers.is_usage_shared = context.usage_exchange.is_settled
        generations.observer.on_attempt_observed = self._record_attempt
        context.quarantine.on_block = generations.drop_blocked
        self._connect_placer(generations.placer)
        generations.placer.allowance = allowance
        generations.placer.queue = WaitingStreams(self.waiting)
        return generations

    def _make_stream_client(self) -> ForwardStreamClient:
        context = self._context
        client = ForwardStreamClient(
            context.pool, context.dialect, self._process_answer_head
        )
        client.is_proven_alive = context.pool.is_proven_alive
        return client

    def _connect_placer(self, placer: AttemptPlacer) -> None:
        context = self._context
        placer.refresh_usage = context.usage_exchange.refresh
        placer.blocked_for_s = self._find_block_s
        placer.find_held_identity = self._find_held_identity
        placer.pick_version = context.traffic.pick_version
        placer.resume_version = context.traffic.resume_version
        finder = PromptFinder(context.tracker, fetch_held_parts)
        placer.find_prompt = finder.find

    def _keeps_copies(self, model: str) -> bool:
        document = self._context.state.document
        service = document.services.get(model) if document else None
        engine = service.engine if service else None
        return engine is not None and engine.keeps_copies

    def _find_block_s(self, request: GenerationRequest) -> float:
        if request.forward is None:
            return 0
        return self._context.quarantine.blocked_s(request.forward)

    def _find_held_identity(
        self, request: GenerationRequest, losses: int
    ) -> str:
        forward = request.forward
        if forward is None:
            return ''
        quarantine = self._context.quarantine
        if losses < _MANY_LOSSES and not quarantine.is_held(forward):
            return ''
        return quarantine.identity(forward) or request.request_id

    def _count_free(self, service: str) -> float:
        now_s = asyncio.get_running_loop().time()
        return count_free(self._context.tracker.views(now_s), service)

    def _count_others(self, service: str) -> dict[int, int] | None:
        now_s = asyncio.get_running_loop().time()
        if not self._context.tracker.fleet_use.is_waiting_told(now_s):
            return None
        return {
            part.rank: part.count
            for part in self._context.tracker.fleet_use.waiting(now_s)
            if part.service == service
        }

    def _list_waiting(self) -> tuple[WaitingCount, ...]:
        return tuple(
            WaitingCount(service, rank, count)
            for (
                service,
                rank,
            ), count in self.waiting.count_by_service().items()
        )

    def _find_weight(self, account: str) -> float:
        document = self._context.state.document
        known = document.accounts.get(account) if document else None
        return known.weight if known else 1

    def _record_attempt(self, observation: AttemptObservation) -> None:
        quarantine = self._context.quarantine
        self._record_room(observation)
        self._context.traffic.record_attempt(observation)
        forward = observation.request.forward
        if forward is None:
            return
        if observation.first_token_s is not None:
            quarantine.record_answer(forward)
        elif observation.is_lost_unanswered:
            quarantine.losses.record_loss(
                forward, observation.server, observation.lasted_s
            )

    def _record_room(self, observation: AttemptObservation) -> None:
        if not observation.is_end:
            return
        request = observation.request
        if not observation.is_failed:
            self.waiting.run_times.record(
                request.model, request.size_class, observation.lasted_s
            )
        self.waiting.note_room(request.model)

    def _record_call(self, result: CallResult) -> None:
        """Record a finished call and update the counts of store calls."""
        context = self._context
        context.traffic.record_call(result)
        if result.is_answered and result.forward is not None:
            context.quarantine.record_answer(result.forward)
        elif result.is_disconnected and result.forward is not None:
            context.quarantine.losses.record_loss(
                result.forward, result.server, result.latency_s
            )
        outcome = 'failed' if result.is_failed else 'good'
        context.metrics.incr(f'sends.{outcome}')
        for kind, count in context.store.calls_by_kind.items():
            context.metrics.gauge(f'store.{kind}', count)
        context.metrics.gauge('store.era', context.store.era)
        for use in MemoryUse:
            held = context.pool.memory.held_for(use)
            context.metrics.gauge(f'memory.{use.value}', held)

    def _process_answer_head(self, server: str, head: AnswerHead) -> None:
        context = self._context
        context.log_start_step('answered')
        if context.dialect.is_misdirected(head):
            context.restart_detector.handle_other_server(server)
        else:
            context.restart_detector.record_answer(server, head)
            self._process_notices(server, head)
        load = context.dialect.load(head)
        if load is not None:
            now_s = asyncio.get_running_loop().time()
            running = load.running + load.waiting
            report = LoadReport(running, '', now_s, load.slowdown, load.waiting)
            context.tracker.reported(server, report)
        self._limiter.handle_answer(server, context.dialect.request_limit(head))
        self._process_brittleness(server, head)

    def _process_notices(self, server: str, head: AnswerHead) -> None:
        """Apply what a server says of its near future."""
        dialect = self._context.dialect
        if dialect.is_leaving(head):
            self._context.store_state.note_leaving(server)
        self._limiter.handle_pause(server, dialect.retry_after_s(head))

    def _process_brittleness(self, server: str, head: AnswerHead) -> None:
        dialect = self._context.dialect
        listed = self._context.tracker.servers_by_name.get(server)
        if listed is None or dialect.is_misdirected(head):
            return
        self._limiter.handle_brittle(
            listed.service_name, dialect.rejection_limit(head)
        )
        if dialect.is_not_executed(head):
            self._limiter.handle_rejection(server)
