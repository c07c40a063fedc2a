"""The daemon on a hosting platform: its parts, how they start and stop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from random import Random
from typing import Any

import aiohttp

from ..calls import (
    CallSeen,
    ForwardSender,
    IdempotentCalls,
    OnceCalls,
    ServiceServers,
)
from ..config import HostedSettings
from ..gateway import (
    ForwardParts,
    ForwardResource,
    GatewayState,
    make_forward_app,
)
from ..generations import (
    ForwardStreamClient,
    GenerationsController,
    LocalDirectory,
    LocationTable,
)
from ..limits import FleetAllowance, RetryBounds
from ..moves import MoveReport
from ..platform import (
    ALL_KEYS,
    PlatformDialect,
    PlatformStore,
    make_directory_app,
    make_readiness_app,
)
from ..replica import (
    FetchReplica,
    FollowPolicy,
    StoreFollower,
)
from ..routing import LoadReport, ServerBook, UseReport
from ..store import StoredEntry
from ..upstream import AnswerHead, ConnectionPool
from ..utils import (
    Address,
    HttpServer,
    PageMetrics,
    PartLogger,
)
from .hosted_fleet import HostedFleet
from .hosted_knowledge import HostedKnowledge
from .hosted_moves import HostedMoves
from .hosted_peers import HostedPeers
from .part_runner import run_parts
from .peer_knowledge import PeerKnowledge
from .restart_finder import RestartFinder
from .use_sharing import UseSharing

__all__ = ['HostedDaemon']

_MS_PER_S = 1000
_ADDRESS_TTL_S = 2.0
#: A watch that waits may have gone deaf; another call tells.
_WATCH_WAIT_S = 1.0
_WATCH_PAUSE_S = 0.4
_STOP_MARGIN_S = 0.5
_STOP_POLL_S = 0.05
_STOP_LINGER_S = 4.0

_log = PartLogger('daemon')


class HostedDaemon:
    """
    One host's process on the platform.

    :param settings: the host's own settings.
    :param session: HTTP session to the platform's store.
    """

    def __init__(
        self, settings: HostedSettings, session: aiohttp.ClientSession
    ) -> None:
        self._settings = settings
        self._session = session
        self._random = Random(f'{settings.name} {time.time_ns()}')
        self._state = GatewayState()
        self._book = ServerBook()
        self._pool = ConnectionPool()
        self._store = PlatformStore(session, settings.store)
        self._dialect = PlatformDialect()
        self._peers = HostedPeers(settings, self._random)
        self._fleet = HostedFleet(
            self._store, self._peers.membership, settings.seeds, self._random
        )
        self._knowledge = HostedKnowledge(self._state, self._book, self._hear)
        self._callers = HttpServer(
            self._make_app, settings.callers, self._state.serving_limits
        )
        self._directory = HttpServer(
            lambda: make_directory_app(self._fleet.addresses, _ADDRESS_TTL_S),
            settings.directory,
        )
        self._readiness = HttpServer(
            self._make_readiness_app, settings.readiness
        )
        self._use = UseSharing(
            settings.name, self._book, self._peers.socket, self._peer_addresses
        )
        self._peers.sorter.handlers_by_type[UseReport] = self._use.hear
        self._peer_knowledge = PeerKnowledge(
            self._knowledge,
            self._peers.client,
            self._fleet.live_peers,
            self._fleet.watchers,
            self._random,
        )
        self._moves = HostedMoves(
            self._store,
            self._peers.membership,
            self._peers.client,
            self._book,
        )
        self._restarts = RestartFinder(
            self._knowledge,
            self._book,
            self._pool,
            self._dialect,
            settings.bounds.reuse_s,
        )
        self._use.on_restart = self._knowledge.note_restart
        self._peers.answers_by_type[FetchReplica] = self._peer_knowledge.answer
        self._peers.answers_by_type[MoveReport] = (
            self._moves.controller.answer_report
        )
        self._metrics = PageMetrics()
        self._metrics_page = HttpServer(
            self._metrics.make_app, settings.metrics
        )
        self._stop_asked = asyncio.Event()

    @classmethod
    def from_settings(cls, settings: HostedSettings) -> HostedDaemon:
        """Build a daemon; an event loop has to be running."""
        return cls(
            settings,
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
            ),
        )

    @property
    def settings(self) -> HostedSettings:
        """The host's own settings."""
        return self._settings

    @property
    def known_servers(self) -> int:
        """Backend servers that this daemon may use."""
        return len(self._book.servers_by_name)

    @property
    def store_calls(self) -> int:
        """Calls made to the store so far."""
        return sum(self._store.calls_by_kind.values())

    @property
    def is_watching(self) -> bool:
        """Whether this daemon follows the store by itself."""
        return self._peer_knowledge.should_watch()

    @property
    def known_peers(self) -> int:
        """Other daemons that are taken to live."""
        return len(self._fleet.live_peers())

    @property
    def is_ready(self) -> bool:
        """Whether new work is welcome."""
        return self._knowledge.is_complete and not self._state.is_stopping

    async def run(self) -> None:
        """Serve until a stop is asked for and all requests have ended."""
        await self._peers.open()
        for server in self._servers():
            await server.start()
        _log.info('%s serves on %s', self._settings.name, self._callers.address)
        try:
            async with run_parts(self._parts(), self.begin_stop):
                await self._stop_asked.wait()
                await self._drain()
        finally:
            await self._close()
        _log.info('%s stopped', self._settings.name)

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        if self._stop_asked.is_set():
            return
        _log.info('%s is asked to stop', self._settings.name)
        loop = asyncio.get_running_loop()
        grace_s = self._settings.bounds.grace_s - _STOP_MARGIN_S
        self._state.is_stopping = True
        self._state.ends_at_s = loop.time() + grace_s
        self._fleet.state_stop()
        self._stop_asked.set()

    def _parts(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._follow(ALL_KEYS, FollowPolicy(_WATCH_WAIT_S, _WATCH_PAUSE_S)),
            self._knowledge.settle(),
            self._peers.membership.run(),
            self._use.run(),
            self._peer_knowledge.run(),
            self._fleet.keep_listed(),
            self._fleet.find_peers(),
            self._fleet.greet(),
            self._moves.run(),
            self._restarts.run(),
        ]

    def _servers(self) -> tuple[HttpServer, ...]:
        return (
            self._callers,
            self._directory,
            self._readiness,
            self._metrics_page,
        )

    def _follow(
        self, prefix: str, policy: FollowPolicy
    ) -> Coroutine[Any, Any, None]:
        follower = StoreFollower(
            self._store,
            prefix,
            policy,
            self._knowledge.take_snapshot,
            self._knowledge.take_entries,
            self._knowledge.note_reached,
            self._random,
            self._peer_knowledge.should_watch,
        )
        return follower.run()

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at_s = self._state.ends_at_s or loop.time()
        linger_until_s = min(loop.time() + _STOP_LINGER_S, ends_at_s)
        await self._fleet.withdraw()
        while loop.time() < ends_at_s:
            is_quiet = not self._callers.running
            if is_quiet and loop.time() >= linger_until_s:
                break
            await asyncio.sleep(_STOP_POLL_S)

    async def _close(self) -> None:
        endings = [server.kill() for server in self._servers()]
        await asyncio.gather(*endings, self._peers.close())
        self._pool.close()
        await self._session.close()

    def _peer_addresses(self) -> tuple[Address, ...]:
        return tuple(member.peers for member in self._fleet.live_peers())

    def _hear(self, news: tuple[StoredEntry, ...]) -> None:
        self._moves.take_news(news, self._knowledge.replica)

    def _make_app(self) -> object:
        servers = ServiceServers(
            self._book,
            self._moves.traffic.service_split,
            self._note_call,
            self._random,
        )
        sender = ForwardSender(
            self._pool, self._dialect, servers, self._note_head
        )
        generations = GenerationsController(
            self._settings.name,
            self._settings.failure_domain,
            self._book,
            ForwardStreamClient(
                self._pool,
                self._dialect,
                self._note_head,
                self._restarts.note_sign,
            ),
            LocalDirectory(LocationTable()),
            self._metrics,
            self._random,
        )
        generations.keeps_copies = self._keeps_copies
        generations.is_use_told = True
        generations.observer.on_seen = self._moves.traffic.note_attempt
        generations.pick_version = self._moves.traffic.pick_version
        generations.resume_version = self._moves.traffic.resume_version
        bounds = self._settings.bounds
        allowance = FleetAllowance(
            RetryBounds(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            ),
            lambda: self.known_peers + 1,
        )
        generations.allowance = allowance
        parts = ForwardParts(
            self._dialect,
            generations,
            IdempotentCalls(sender, servers, allowance),
            OnceCalls(sender, servers),
            self._random,
            self._metrics,
        )
        return make_forward_app(ForwardResource(self._state, parts))

    def _make_readiness_app(self) -> object:
        return make_readiness_app(lambda: self.is_ready)

    def _keeps_copies(self, model: str) -> bool:
        document = self._state.document
        service = document.services.get(model) if document else None
        engine = service.engine if service else None
        return engine is not None and engine.keeps_copies

    def _note_call(self, seen: CallSeen) -> None:
        """Count a call that ended, and what the store was asked so far."""
        self._moves.traffic.note_call(seen)
        outcome = 'failed' if seen.is_failed else 'good'
        self._metrics.incr(f'sends.{outcome}')
        for kind, count in self._store.calls_by_kind.items():
            self._metrics.gauge(f'store.{kind}', count)

    def _note_head(self, server: str, head: AnswerHead) -> None:
        if self._dialect.is_other_server(head):
            self._restarts.note_other_server(server)
        else:
            self._restarts.note_sign(server)
        load = self._dialect.load(head)
        if load is not None:
            now_s = asyncio.get_running_loop().time()
            running = load.running + load.waiting
            self._book.reported(server, LoadReport(running, '', now_s))
