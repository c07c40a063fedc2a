"""The daemon: its parts, how they start and how they stop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from random import Random
from typing import Any

import aiohttp

from ..audit import AuditTrimmer
from ..calls import Ledger, RouteRunner, ServiceServers
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
    EngineClient,
    GenerationsController,
    LocationTable,
    PeerDirectory,
    Site,
    StallPolicy,
)
from ..limits import (
    AdmissionController,
    AdmissionLimits,
    QuotaController,
    QuotaTable,
)
from ..membership import (
    Fact,
    FactKind,
    GossipPolicy,
    Member,
    MembershipController,
    MembershipMailbox,
    News,
)
from ..moves import MovesController
from ..orders import OrderClient, OrderRepository, OrdersController
from ..platform import EtcdStore, HttpHostList
from ..routing import ServerBook
from ..utils import (
    Address,
    HttpServer,
    PartLogger,
    connect_metrics,
)
from ..wire import DatagramSocket, PeerClient, PeerServer, WireCounters
from .capacity import admission_limits
from .config_keeper import ConfigKeeper, RevisionHeard
from .fleet import FleetController
from .protocol import Dispatcher, make_registry
from .roles import RoleFinder
from .servers import ServersController
from .traffic import TrafficController

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
        self.counters = WireCounters()
        self._session = session
        self._calls_session = calls_session
        self._random = Random(f'{settings.name} {time.time_ns()}')
        self._stop_asked = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._state = GatewayState()
        self._book = ServerBook()
        self._admission = AdmissionController(AdmissionLimits(0, 0))
        self._locations = LocationTable()
        self._server = HttpServer(self._make_app, settings.callers)
        self._make_peer_parts()
        self._make_request_parts()

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
    def address(self) -> Address:
        """Where callers are served."""
        return self._server.address

    async def run(self) -> None:
        """Serve until a stop is asked for and all requests have ended."""
        peers = await self._peer_server.start()
        await self._socket.open(peers)
        await self._server.start()
        _log.info('%s serves on %s', self.settings.name, self.address)
        tasks = [asyncio.create_task(part) for part in self._parts()]
        for task in tasks:
            task.add_done_callback(self._notice_end)
        try:
            await self._stop_asked.wait()
            await self._drain()
        finally:
            await self._close(tasks)
        _log.info('%s stopped', self.settings.name)

    def begin_stop(self) -> None:
        """Begin a planned stop; asked again, do not wait for callers."""
        if self._stop_asked.is_set():
            self._stop_now.set()
        self._state.is_stopping = True
        self._fleet.state_stop()
        self._stop_asked.set()

    def status(self) -> DaemonStatus:
        """Return the state of this daemon."""
        return DaemonStatus(
            host=self.settings.name,
            revision=self._keeper.revision.number,
            rejected_revision=self._keeper.rejected.number,
            generations=self._generations.running,
            waiting=len(self._admission.state.waiting),
            is_stopping=self._state.is_stopping,
            adopted_at_s=self._keeper.adopted_at_s,
            peer_bytes=self.counters.bytes_in + self.counters.bytes_out,
            peer_datagrams=(
                self.counters.datagrams_in + self.counters.datagrams_out
            ),
            dropped_frames=self.counters.dropped,
        )

    def members(self) -> tuple[Member, ...]:
        """Return the fleet as this daemon believes it to be."""
        return tuple(self.membership.view.members_by_name.values())

    def set_server_leaving(self, name: str, *, is_leaving: bool) -> None:
        """State for an operator that a backend server leaves or is back."""
        self._fleet.state_server(name, is_leaving=is_leaving)

    def _notice_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        # A part never ends by itself: without it the host is of no use.
        _log.error('a part failed: %r', task.exception())
        self._stop_now.set()
        self.begin_stop()

    def _make_peer_parts(self) -> None:
        settings = self.settings
        registry = make_registry()
        self._peer_client = PeerClient(registry, self.counters)
        mailbox: MembershipMailbox = asyncio.Queue()
        self._socket = DatagramSocket(registry, self.counters, mailbox)
        store = EtcdStore(self._session, settings.store)
        self._trimmer = AuditTrimmer(store)
        self._keeper = ConfigKeeper(
            store,
            self._peer_client,
            settings.site,
            self._adopt,
            self._random,
        )
        self.membership = MembershipController(
            _describe(settings, self.address),
            self._socket,
            mailbox,
            self._peer_client,
            self._random,
            GossipPolicy(),
        )
        self.membership.listeners.append(self._hear)
        self._roles = RoleFinder(self.membership)
        self._fleet = FleetController(
            settings,
            HttpHostList(self._session, settings.host_list),
            self.membership,
            self._keeper,
            self._roles,
            self._random,
        )
        self._ledger = Ledger(
            settings.name, store, self._peer_client, self._roles.owners
        )
        self.moves = MovesController(
            settings.name,
            store,
            self._peer_client,
            self._roles.drivers,
            self.membership.state_fact,
        )
        self._traffic = TrafficController(self.moves, self._book)
        self._orders = OrdersController(
            OrderRepository(store),
            OrderClient(self._session),
            lambda: self._book.servers_by_name,
            self._roles.is_order_writer,
            self._fleet.state_order,
        )
        self._quotas = QuotaController(
            settings.name,
            QuotaTable(),
            self._peer_client,
            self._roles.quota_home,
            lambda: len(self._roles.daemon_names()),
        )
        self._peer_server = PeerServer(
            settings.peers,
            registry,
            Dispatcher(
                self.membership,
                self._keeper,
                self._locations,
                self._ledger,
                self.moves,
                self._quotas,
            ),
            self.counters,
        )

    def _make_request_parts(self) -> None:
        settings = self.settings
        self._servers = ServersController(
            settings.name,
            self._session,
            self._book,
            self._roles.daemon_names,
            self._traffic.split_of_server,
            self._fleet.state_server_leaving,
            self._random,
        )
        self._generations = GenerationsController(
            settings.name,
            settings.failure_domain,
            self._book,
            EngineClient(self._session),
            PeerDirectory(
                settings.name,
                self._locations,
                self._roles.homes,
                self._peer_client,
            ),
            connect_metrics(settings.statsd, settings.name),
            self._random,
        )
        self._generations.on_seen = self._traffic.note_attempt
        self._generations.pick_version = self._traffic.pick_version

    def _parts(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self.membership.run(),
            self._keeper.run(),
            self._keeper.follow_store(self._roles.should_watch),
            self._fleet.follow_hosts(),
            self._fleet.catch_up(),
            self._admission.run(),
            self._servers.run(),
            self.moves.run(self._roles.should_watch),
            self._orders.run(),
            self._quotas.run(lambda: self._admission.state.running_by_account),
            self._keep_house(),
        ]

    async def _keep_house(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self._locations.expire(loop.time())
            first = min(self._roles.daemon_names(), default='')
            if first == self.settings.name:
                await self._trimmer.trim_when_due(loop.time())
            self._peer_client.close_idle(loop.time())

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

    async def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._server.kill()
        await self._generations.stop()
        await self._ledger.stop()
        await self._peer_server.stop()
        await self._peer_client.stop()
        self._socket.close()
        await self._session.close()
        await self._calls_session.close()

    def _adopt(self, document: Document, revision: Revision) -> None:
        self._state.document = document
        self._traffic.document = document
        self._book.replace_servers(document.servers)
        self._servers.refresh_subset()
        self._refresh_limits()
        self._ledger.window_s = document.limits.key_window_s
        self._generations.site = Site(
            StallPolicy.from_weight(document.preferences.resume_latency_weight),
            document.limits.reconnect_window_s,
        )
        self.membership.state_fact(
            Fact(FactKind.CONFIG_REVISION, CONFIG_KEY, revision.number)
        )

    def _refresh_limits(self) -> None:
        document = self._state.document
        if document is not None:
            daemons = len(self._roles.daemon_names())
            self._quotas.limits_by_account = {
                name: account.max_running
                for name, account in document.accounts.items()
            }
            self._admission.limits = admission_limits(
                document, daemons, self._quotas.granted_by_account
            )

    def _hear(self, news: News) -> None:
        self.moves.book.hear(news.rumours)
        for fact in news.rumours.facts:
            self._hear_fact(fact, news.source)
        self._servers.refresh_subset()
        if news.rumours.members:
            self._refresh_limits()

    def _hear_fact(self, fact: Fact, source: Address | None) -> None:
        if fact.kind == FactKind.SERVER_LEAVING:
            self._book.set_leaving(fact.key, is_leaving=fact.text == 'leaving')
        if fact.kind == FactKind.SERVER_ORDER:
            self._orders.look()
        is_config = fact.kind == FactKind.CONFIG_REVISION
        if is_config and source is not None:
            heard = RevisionHeard(fact.rank, source)
            self._keeper.mailbox.put_nowait(heard)

    def _make_app(self) -> object:
        return make_app(
            CompletionsResource(
                self._state, self._generations, self._admission, self._quotas
            ),
            InformationResource(self._state, self._roles.entries),
            PlainCallsResource(
                self._state,
                RouteRunner(
                    self._calls_session,
                    ServiceServers(
                        self._book,
                        self._traffic.service_split,
                        self._traffic.note_call,
                        self._random,
                    ),
                    self._ledger,
                ),
            ),
            (
                AdminResource(self, self._state),
                MoveAdminResource(
                    self._state, self.moves, self._traffic.serving_version
                ),
                OrderAdminResource(self._state, self._orders),
            ),
        )


def _describe(settings: DaemonSettings, callers: Address) -> Member:
    return Member(
        name=settings.name,
        region=settings.region,
        failure_domain=settings.failure_domain,
        peers=settings.peers,
        callers=callers,
        incarnation=int(time.time() * _MS_PER_S),
    )
