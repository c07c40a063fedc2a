"""The daemon: its components, start and shutdown."""

from __future__ import annotations

import asyncio
import functools

import aiohttp

from ..calls import ServiceServers
from ..calls.runner import RouteRunner
from ..calls.session_sender import SessionSender
from ..config import Document
from ..config.repository import CONFIG_KEY
from ..config.revision import Revision
from ..config.settings import DaemonSettings
from ..gateway import GatewayState
from ..gateway.admin import AdminResource, DaemonStatus
from ..gateway.app import make_app
from ..gateway.completions import CompletionsResource
from ..gateway.information import InformationResource
from ..gateway.move_admin import MoveAdminResource
from ..gateway.order_admin import OrderAdminResource
from ..gateway.plain_calls import PlainCallsResource
from ..generations import (
    GenerationSettings,
    StallPolicy,
)
from ..membership import (
    Fact,
    FactKind,
    Member,
    ViewUpdated,
)
from ..moves import MovesController
from ..utils import (
    Address,
    HttpServer,
    PartLogger,
)
from .capacity import admission_limits
from .components import RequestComponents, SharedComponents
from .config_controller import RevisionAnnouncement
from .task_runner import BackgroundTask, run_tasks

__all__ = ['Daemon']

_MS_PER_S = 1000
_HOUSEKEEPING_S = 10.0

_log = PartLogger('daemon')


class Daemon:
    """
    The daemon process of one host.

    :param settings: settings of this host.
    :param session: HTTP session to engines and the platform.
    :param calls_session: HTTP session to plain services, without keep-alive
        connections.
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
        self._stop_requested = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._state = GatewayState()
        self._server = HttpServer(
            self._make_app, settings.callers, self._state.serving_limits
        )
        self._shared = SharedComponents.from_settings(
            settings, self.address, session, self._adopt_document
        )
        self._shared.membership.listeners.append(self._apply_view_change)
        self._requests = RequestComponents.from_shared(self._shared)

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> Daemon:
        """Create a daemon; requires a running event loop."""
        return cls(
            settings,
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)),
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            ),
        )

    @property
    def moves(self) -> MovesController:
        """Controller of the traffic moves known to this daemon."""
        return self._shared.moves

    @property
    def address(self) -> Address:
        """Address at which callers are served."""
        return self._server.address

    async def run(self) -> None:
        """Serve until a stop is requested and all requests have ended."""
        peers = await self._shared.server.start()
        await self._shared.socket.open(peers)
        await self._server.start()
        _log.info('%s serves on %s', self.settings.name, self.address)
        try:
            async with run_tasks(self._tasks(), self._stop_after_failure):
                await self._stop_requested.wait()
                await self._drain()
        finally:
            await self._close()
        _log.info('%s stopped', self.settings.name)

    def begin_stop(self) -> None:
        """
        Begin a planned stop.

        A second call skips the wait until callers no longer use the address
        of this daemon.
        """
        if self._stop_requested.is_set():
            self._stop_now.set()
        self._state.is_stopping = True
        self._shared.fleet.publish_stop()
        self._stop_requested.set()

    def status(self) -> DaemonStatus:
        """Return the current status of this daemon."""
        counters = self._shared.counters
        return DaemonStatus(
            host=self.settings.name,
            revision=self._shared.config_controller.revision.number,
            rejected_revision=self._shared.config_controller.rejected.number,
            generations=self._requests.generations.running,
            waiting=len(self._requests.admission.state.waiting),
            is_stopping=self._state.is_stopping,
            adopted_at_s=self._shared.config_controller.adopted_at_s,
            peer_bytes=counters.total_bytes,
            peer_datagrams=counters.total_datagrams,
            dropped_frames=counters.dropped,
        )

    def members(self) -> tuple[Member, ...]:
        """Return all members in this daemon's view of the fleet."""
        return tuple(self._shared.membership.view.members_by_name.values())

    def set_server_leaving(self, name: str, *, is_leaving: bool) -> None:
        """
        Publish, for an operator, whether a backend server is leaving.

        :param name: name of the backend server.
        :param is_leaving: false if the server accepts new requests again.
        """
        self._shared.fleet.publish_server_state(name, is_leaving=is_leaving)

    def _stop_after_failure(self) -> None:
        self._stop_now.set()
        self.begin_stop()

    def _tasks(self) -> list[BackgroundTask]:
        return [
            self._shared.membership.run,
            self._shared.config_controller.run,
            functools.partial(
                self._shared.config_controller.follow_store,
                self._shared.roles.should_watch,
            ),
            self._shared.fleet.follow_host_list,
            self._shared.fleet.fetch_missed_revisions,
            self._requests.admission.run,
            self._requests.servers.run,
            functools.partial(
                self._shared.moves.run, self._shared.roles.should_watch
            ),
            self._shared.orders.run,
            functools.partial(
                self._shared.quotas.run,
                lambda: self._requests.admission.state.running_by_account,
            ),
            self._run_housekeeping,
        ]

    async def _run_housekeeping(self) -> None:
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
        _log.info(
            '%s drains; callers may use its address for %s s',
            self.settings.name,
            ttl_s,
        )
        try:
            async with asyncio.timeout(ttl_s):
                await self._stop_now.wait()
        except TimeoutError:
            _log.info('%s is no longer used by callers', self.settings.name)
        await self._server.stop()

    async def _close(self) -> None:
        await self._server.kill()
        await self._requests.generations.stop()
        await self._shared.ledger.stop()
        await self._shared.server.stop()
        await self._shared.client.stop()
        self._shared.socket.close()
        self._shared.store.close()
        await self._session.close()
        await self._calls_session.close()

    def _adopt_document(self, document: Document, revision: Revision) -> None:
        self._state.document = document
        self._shared.traffic.document = document
        self._shared.tracker.replace_servers(document.servers)
        self._requests.servers.refresh_subset()
        self._refresh_limits()
        self._shared.ledger.window_s = document.limits.key_window_s
        self._requests.generations.settings = GenerationSettings(
            StallPolicy.from_weight(document.preferences.resume_latency_weight),
            document.limits.reconnect_window_s,
        )
        self._shared.membership.publish_fact(
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

    def _apply_view_change(self, change: ViewUpdated) -> None:
        self._shared.moves.move_table.apply_facts(change.updates)
        for fact in change.updates.facts:
            self._apply_fact(fact, change.source)
        self._requests.servers.refresh_subset()
        if change.updates.members:
            self._refresh_limits()

    def _apply_fact(self, fact: Fact, source: Address | None) -> None:
        if fact.kind == FactKind.SERVER_LEAVING:
            self._shared.tracker.set_leaving(
                fact.key, is_leaving=fact.text == 'leaving'
            )
        if fact.kind == FactKind.SERVER_ORDER:
            self._shared.orders.note_open_orders()
        is_config = fact.kind == FactKind.CONFIG_REVISION
        if is_config and source is not None:
            announcement = RevisionAnnouncement(fact.rank, source)
            self._shared.config_controller.updates.put_nowait(announcement)

    def _make_app(self) -> object:
        servers = ServiceServers(
            self._shared.tracker,
            self._shared.traffic.service_split,
            self._shared.traffic.record_call,
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
