"""The daemon on a hosting platform: its components, start and shutdown."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from ..config import HostedSettings
from ..gateway import GatewayState
from ..moves import ExposureLimit, FetchMoveTotals, MoveReport
from ..platform.headers import PlatformDialect
from ..platform.http_apps import make_directory_app, make_readiness_app
from ..platform.store import ALL_KEYS, PlatformStore
from ..replica import (
    FetchReplica,
    FollowPolicy,
    FreshnessBudget,
    StoreFollower,
)
from ..routing import FetchUse, ServerTracker, UseReport
from ..store import GuardedStore, StoredEntry
from ..upstream import AnswerMemory, ConnectionPool
from ..utils import (
    HttpServer,
    PartLogger,
    PrometheusMetrics,
    StepLog,
)
from .early_sockets import EarlySockets
from .hosted_fleet import HostedFleet
from .hosted_moves import HostedMoves
from .hosted_peers import HostedPeers, HostedRelay
from .hosted_requests import HostedRequests, RequestContext
from .hosted_store_state import HostedStoreState
from .peer_replication import PeerReplication
from .planned_stop import PlannedStop
from .quarantine import Quarantine
from .restart_detector import AskingRanks, RestartDetector
from .task_runner import BackgroundTask, run_tasks
from .usage_exchange import UsageExchange

__all__ = ['HostedDaemon']

_MS_PER_S = 1000

_log = PartLogger('daemon')


class HostedDaemon:
    """
    The daemon process of one host on the platform.

    Creating it requires a running event loop.

    :param settings: settings of this host.
    :param listeners: sockets that listen already; others are opened.
    :param started_s: monotonic time in seconds at which the process started,
        now by default.
    """

    def __init__(
        self,
        settings: HostedSettings,
        listeners: EarlySockets | None = None,
        started_s: float | None = None,
    ) -> None:
        listeners = listeners or EarlySockets()
        self._start_log = StepLog(
            _log, 'start_step', started_s or time.monotonic()
        )
        self._settings = settings
        self._random = Random(f'{settings.name} {time.time_ns()}')
        self._state = GatewayState()
        self._tracker = ServerTracker()
        self._pool = ConnectionPool()
        self._pool.memory = AnswerMemory.from_limit(settings.memory_mb)
        self._client = PlatformStore(settings.store)
        self._store = GuardedStore(self._client)
        self._dialect = PlatformDialect()
        self._peers = HostedPeers(settings, self._random, listeners)
        self._fleet = HostedFleet(
            self._store, self._peers.membership, settings.seeds, self._random
        )
        self._relay = HostedRelay(
            settings, self._peers, self._fleet.live_peers, self._random
        )
        metrics = PrometheusMetrics()
        self._relay.attach(self._tracker, self._pool, metrics)
        self._store_state = HostedStoreState(
            self._state, self._tracker, self._apply_store_changes
        )
        self._directory_server = HttpServer(
            lambda: make_directory_app(self._fleet.look_up),
            settings.directory,
            listener=listeners.take(
                settings.directory.ip, settings.directory.port
            ),
        )
        self._readiness_server = HttpServer(
            self._make_readiness_app,
            settings.readiness,
            listener=listeners.take(
                settings.readiness.ip, settings.readiness.port
            ),
        )
        self._usage_exchange = UsageExchange(
            settings.name,
            self._tracker,
            self._peers.socket,
            self._peers.client,
            self._fleet.live_peers,
            self._fleet.collectors,
        )
        self._peers.datagram_router.handlers_by_type[UseReport] = (
            self._usage_exchange.handle_report
        )
        self._peer_replication = PeerReplication(
            self._store_state,
            self._peers.client,
            self._fleet.live_peers,
            self._fleet.watchers,
            self._fleet.newest_configuration,
            self._random,
            settings.bounds.knowledge_s,
        )
        self._store_state.on_older_configuration = (
            self._fleet.publish_configuration
        )
        self._store_state.on_return = self._fleet.note_store_returned
        self._store_state.on_leaving = self._fleet.publish_leaving_server
        self._fleet.on_leaving_server = self._store_state.note_heard_leaving
        self._moves = HostedMoves(
            self._store,
            self._peers.membership,
            self._peers.client,
            self._tracker,
            ExposureLimit(
                settings.bounds.exposure_ratio, settings.bounds.exposure_slack
            ),
        )
        self._quarantine = Quarantine(
            self._peers,
            self._store,
            self._may_store_secret,
            self._tracker,
            self._pool,
        )
        self._restart_detector = RestartDetector(
            self._store_state,
            self._tracker,
            self._pool,
            self._dialect,
            settings.bounds.reuse_s,
            AskingRanks(settings.name, self._fleet.live_peers).rank,
        )
        self._usage_exchange.on_restart = self._store_state.record_restart
        self._peers.handlers_by_type[FetchUse] = (
            self._usage_exchange.answer_fetch
        )
        self._peers.handlers_by_type[FetchReplica] = (
            self._peer_replication.handle_fetch
        )
        self._peers.handlers_by_type[MoveReport] = (
            self._moves.controller.answer_report
        )
        self._peers.handlers_by_type[FetchMoveTotals] = (
            self._moves.controller.answer_totals
        )
        self._metrics_server = HttpServer(metrics.make_app, settings.metrics)
        self._requests = HostedRequests(
            RequestContext(
                settings,
                self._state,
                self._tracker,
                self._store_state,
                self._pool,
                self._dialect,
                self._moves.traffic,
                self._restart_detector,
                metrics,
                self._random,
                self._usage_exchange,
                self._quarantine,
                self._fleet,
                self._client,
                self._log_start_step,
            )
        )
        self._caller_server = HttpServer(
            self._requests.make_app,
            settings.callers,
            self._state.serving_limits,
            listeners.take(settings.callers.ip, settings.callers.port),
        )
        self._caller_server.set_unread = self._pool.memory.set_unread
        self._log_start()
        self._stop = PlannedStop(self._state, settings.bounds.grace_s)
        #: Called when a planned stop begins, with the time since its signal.
        self.on_stop: Callable[[float], object] = _ignore

    @property
    def settings(self) -> HostedSettings:
        """Settings of this host."""
        return self._settings

    @property
    def known_servers(self) -> int:
        """Number of backend servers that this daemon may use."""
        return len(self._tracker.servers_by_name)

    @property
    def store_calls(self) -> int:
        """Number of calls made to the store so far."""
        return sum(self._client.calls_by_kind.values())

    @property
    def is_watching(self) -> bool:
        """Whether this daemon follows the store directly, not via a peer."""
        return self._peer_replication.should_watch()

    @property
    def known_peers(self) -> int:
        """Number of other daemons considered alive."""
        return len(self._fleet.live_peers())

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new requests."""
        return self._store_state.is_complete and not self._state.is_stopping

    async def run(self) -> None:
        """Serve until a stop is requested, then drain and close."""
        self._state.begin_start()
        await self._peers.open()
        try:
            async with run_tasks(self._tasks(), self.begin_stop):
                await self._serve()
        finally:
            await self._close()
        _log.info('%s stopped', self._settings.name)

    def begin_stop(self, late_s: float = 0) -> None:
        """
        Begin a planned stop; further calls have no effect.

        :param late_s: time in seconds since the signal for the stop.
        """
        if self._stop.is_requested:
            return
        self.on_stop(late_s)
        _log.info('%s received a stop request', self._settings.name)
        self._stop.begin(late_s)
        self._requests.waiting.refuse_all()
        self._fleet.publish_stop()

    async def _serve(self) -> None:
        try:
            # The background tasks learn the configuration meanwhile.
            for server in self._http_servers():
                await server.start()
            self._log_serving()
            await self._stop.wait()
            await self._stop.drain(self._fleet.deregister, self._caller_server)
        finally:
            # Answers come first: what follows may take all that is left.
            await self._close_connections()

    def _tasks(self) -> list[BackgroundTask]:
        return [
            self._make_follower().run,
            self._store_state.drop_expired_servers,
            self._peers.membership.run,
            self._usage_exchange.run,
            self._peer_replication.run,
            self._fleet.maintain_registration,
            self._fleet.discover_peers,
            self._fleet.rejoin_lost_peers,
            self._moves.run,
            self._restart_detector.run,
            self._quarantine.run,
        ]

    def _http_servers(self) -> tuple[HttpServer, ...]:
        return (
            self._caller_server,
            self._directory_server,
            self._readiness_server,
            self._metrics_server,
        )

    def _make_follower(self) -> StoreFollower:
        # Each poll ends soon, as a watch may have stopped delivering changes
        # without an error, which only a new call reveals.
        budget = FreshnessBudget.from_bound(self._settings.bounds.knowledge_s)
        return StoreFollower(
            self._store,
            ALL_KEYS,
            FollowPolicy.from_budget(budget),
            self._store_state,
            self._random,
            self._peer_replication.watch_due_in_s,
        )

    def _log_start(self) -> None:
        """Log the steps of the start as the components reach them."""
        self._fleet.log_start_step = self._log_start_step
        self._store_state.log_start_step = self._log_start_step
        self._store_state.on_refresh = self._log_knowledge
        self._peers.membership.listeners.append(lambda _: self._log_knowledge())

    def _log_serving(self) -> None:
        self._log_start_step('serving')
        _log.info(
            '%s serves on %s', self._settings.name, self._caller_server.address
        )

    def _log_start_step(self, step: str) -> None:
        if not self._start_log.has_reached(step):
            self._start_log.reach(step, hosts=self.known_peers + 1)

    def _log_knowledge(self) -> None:
        if self.known_peers:
            self._log_start_step('peer_known')
        if self._state.document is not None:
            self._log_start_step('configured')
        if self.is_ready:
            self._log_start_step('ready')

    async def _close(self) -> None:
        await self._stop.run_step('peers_closed', self._peers.close())
        self._pool.close()
        self._store.close()
        self._stop.log_step('closed')

    async def _close_connections(self) -> None:
        self._stop.log_step(
            'drained', cut_streams=self._requests.log_unfinished()
        )
        flush_s = self._stop.flush_s
        servers = self._http_servers()
        await asyncio.gather(*[server.close(flush_s) for server in servers])
        self._stop.log_step('connections_closed')

    def _apply_store_changes(self, entries: tuple[StoredEntry, ...]) -> None:
        self._moves.apply_store_changes(entries, self._store_state.replica)
        self._quarantine.apply_store_changes(entries)

    def _may_store_secret(self) -> bool:
        return self._store_state.is_complete and not self._fleet.watchers()

    def _make_readiness_app(self) -> object:
        return make_readiness_app(lambda: self.is_ready)


def _ignore(late_s: float) -> None:
    """Do nothing."""
