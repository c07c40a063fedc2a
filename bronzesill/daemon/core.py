"""The daemon: its parts, how they start and how they stop."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp

from ..calls import RouteRunner, ServiceServers, SessionSender
from ..config import CONFIG_KEY, DaemonSettings, Document, Revision
from ..gateway import (
    AdminResource,
    CompletionsResource,
    DaemonStatus,
    GatewayState,
    InformationResource,
    MoveAdminResource,
    OrderAdminResource,
    PlainCallsResource,
    make_app,
)
from ..generations import (
    Site,
    StallPolicy,
)
from ..membership import (
    Fact,
    FactKind,
    Member,
    News,
)
from ..moves import MovesController
from ..utils import (
    Address,
    HttpServer,
    PartLogger,
)
from .capacity import admission_limits
from .config_keeper import RevisionHeard
from .part_runner import run_parts
from .parts import RequestParts, SharedParts

__all__ = ['Daemon']

_MS_PER_S = 1000
_HOUSEKEEPING_S = 10.0

_log = PartLogger('daemon')


class Daemon:
    """
    One host's process.

    :param settings: the host's own settings.
    :param session: HTTP session to engines and platform.
    :param calls_session: HTTP session to plain services, which keeps no
        connection alive.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        session: aiohttp.ClientSession,
        calls_session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self._session = session
        self._calls_session = calls_session
        self._stop_asked = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._state = GatewayState()
        self._server = HttpServer(
            self._make_app, settings.callers, self._state.serving_limits
        )
        self._shared = SharedParts.from_settings(
            settings, self.address, session, self._adopt
        )
        self._shared.membership.listeners.append(self._hear)
        self._requests = RequestParts.from_shared(self._shared)

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> Daemon:
        """Build a daemon; an event loop has to be running."""
        return cls(
            settings,
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)),
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            ),
        )

    @property
    def moves(self) -> MovesController:
        """What this daemon knows of moves."""
        return self._shared.moves

    @property
    def address(self) -> Address:
        """Where callers are served."""
        return self._server.address

    async def run(self) -> None:
        """Serve until a stop is asked for and all requests have ended."""
        peers = await self._shared.server.start()
        await self._shared.socket.open(peers)
        await self._server.start()
        _log.info('%s serves on %s', self.settings.name, self.address)
        try:
            async with run_parts(self._parts(), self._give_up):
                await self._stop_asked.wait()
                await self._drain()
        finally:
            await self._close()
        _log.info('%s stopped', self.settings.name)

    def begin_stop(self) -> None:
        """Begin a planned stop; asked again, do not wait for callers."""
        if self._stop_asked.is_set():
            self._stop_now.set()
        self._state.is_stopping = True
        self._shared.fleet.state_stop()
        self._stop_asked.set()

    def status(self) -> DaemonStatus:
        """Return the state of this daemon."""
        counters = self._shared.counters
        return DaemonStatus(
            host=self.settings.name,
            revision=self._shared.keeper.revision.number,
            rejected_revision=self._shared.keeper.rejected.number,
            generations=self._requests.generations.running,
            waiting=len(self._requests.admission.state.waiting),
            is_stopping=self._state.is_stopping,
            adopted_at_s=self._shared.keeper.adopted_at_s,
            peer_bytes=counters.bytes_moved,
            peer_datagrams=counters.datagrams_moved,
            dropped_frames=counters.dropped,
        )

    def members(self) -> tuple[Member, ...]:
        """Return the fleet as this daemon believes it to be."""
        return tuple(self._shared.membership.view.members_by_name.values())

    def set_server_leaving(self, name: str, *, is_leaving: bool) -> None:
        """State for an operator that a backend server leaves or is back."""
        self._shared.fleet.state_server(name, is_leaving=is_leaving)

    def _give_up(self) -> None:
        self._stop_now.set()
        self.begin_stop()

    def _parts(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._shared.membership.run(),
            self._shared.keeper.run(),
            self._shared.keeper.follow_store(self._shared.roles.should_watch),
            self._shared.fleet.follow_hosts(),
            self._shared.fleet.catch_up(),
            self._requests.admission.run(),
            self._requests.servers.run(),
            self._shared.moves.run(self._shared.roles.should_watch),
            self._shared.orders.run(),
            self._shared.quotas.run(
                lambda: self._requests.admission.state.running_by_account
            ),
            self._keep_house(),
        ]

    async def _keep_house(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self._shared.locations.expire(loop.time())
            first = min(self._shared.roles.daemon_names(), default='')
            if first == self.settings.name:
                await self._shared.trimmer.trim_when_due(loop.time())
            self._shared.client.close_idle(loop.time())

    async def _drain(self) -> None:
        document = self._state.document
        ttl_s = document.limits.address_ttl_s if document else 0
        _log.info('%s drains, callers keep it %s s', self.settings.name, ttl_s)
        try:
            async with asyncio.timeout(ttl_s):
                await self._stop_now.wait()
        except TimeoutError:
            _log.info('%s is no longer used', self.settings.name)
        await self._server.stop()

    async def _close(self) -> None:
        await self._server.kill()
        await self._requests.generations.stop()
        await self._shared.ledger.stop()
        await self._shared.server.stop()
        await self._shared.client.stop()
        self._shared.socket.close()
        await self._session.close()
        await self._calls_session.close()

    def _adopt(self, document: Document, revision: Revision) -> None:
        self._state.document = document
        self._shared.traffic.document = document
        self._shared.book.replace_servers(document.servers)
        self._requests.servers.refresh_subset()
        self._refresh_limits()
        self._shared.ledger.window_s = document.limits.key_window_s
        self._requests.generations.site = Site(
            StallPolicy.from_weight(document.preferences.resume_latency_weight),
            document.limits.reconnect_window_s,
        )
        self._shared.membership.state_fact(
            Fact(FactKind.CONFIG_REVISION, CONFIG_KEY, revision.number)
        )

    def _refresh_limits(self) -> None:
        document = self._state.document
        if document is not None:
            daemons = len(self._shared.roles.daemon_names())
            self._shared.quotas.limits_by_account = {
                name: account.max_running
                for name, account in document.accounts.items()
            }
            self._requests.admission.limits = admission_limits(
                document, daemons, self._shared.quotas.granted_by_account
            )

    def _hear(self, news: News) -> None:
        self._shared.moves.book.hear(news.rumours)
        for fact in news.rumours.facts:
            self._hear_fact(fact, news.source)
        self._requests.servers.refresh_subset()
        if news.rumours.members:
            self._refresh_limits()

    def _hear_fact(self, fact: Fact, source: Address | None) -> None:
        if fact.kind == FactKind.SERVER_LEAVING:
            self._shared.book.set_leaving(
                fact.key, is_leaving=fact.text == 'leaving'
            )
        if fact.kind == FactKind.SERVER_ORDER:
            self._shared.orders.look()
        is_config = fact.kind == FactKind.CONFIG_REVISION
        if is_config and source is not None:
            heard = RevisionHeard(fact.rank, source)
            self._shared.keeper.mailbox.put_nowait(heard)

    def _make_app(self) -> object:
        servers = ServiceServers(
            self._shared.book,
            self._shared.traffic.service_split,
            self._shared.traffic.note_call,
            self._shared.random,
        )
        return make_app(
            CompletionsResource(
                self._state,
                self._requests.generations,
                self._requests.admission,
                self._shared.quotas,
            ),
            InformationResource(self._state, self._shared.roles.entries),
            PlainCallsResource(
                self._state,
                RouteRunner(
                    SessionSender(self._calls_session, servers),
                    servers,
                    self._shared.ledger,
                ),
            ),
            (
                AdminResource(self, self._state),
                MoveAdminResource(
                    self._state,
                    self._shared.moves,
                    self._shared.traffic.serving_version,
                ),
                OrderAdminResource(self._state, self._shared.orders),
            ),
        )
