"""The parts of a daemon and how they hang together."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from random import Random

import aiohttp

from ..audit import AuditTrimmer
from ..calls import Ledger
from ..config import DaemonSettings, Document, Revision
from ..generations import (
    EngineClient,
    GenerationsController,
    LocationTable,
    PeerDirectory,
)
from ..limits import (
    AdmissionController,
    AdmissionLimits,
    QuotaController,
    QuotaTable,
)
from ..membership import (
    GossipPolicy,
    Member,
    MembershipController,
    MembershipMailbox,
)
from ..moves import MovesController
from ..orders import OrderClient, OrderRepository, OrdersController
from ..platform import HttpHostList, PlatformStore
from ..routing import ServerBook
from ..utils import Address, connect_metrics
from ..wire import DatagramSocket, PeerClient, PeerServer, WireCounters
from .config_keeper import ConfigKeeper
from .fleet import FleetController
from .protocol import Dispatcher, make_registry
from .roles import RoleFinder
from .servers import ServersController
from .traffic import TrafficController

__all__ = ['RequestParts', 'SharedParts']

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class SharedParts:
    """
    Parts that deal with the platform and with other daemons.

    :param settings: the host's own settings.
    :param session: HTTP session to engines and platform.
    :param random: generator for choices and jitter.
    :param counters: counts of what is exchanged with peers.
    :param book: what is known of the backend servers.
    :param locations: records of generations kept here.
    :param client: streams to peers.
    :param socket: datagrams to peers.
    :param server: answers peers.
    :param membership: what is believed of the fleet.
    :param roles: which daemons take which part.
    :param keeper: configuration in force.
    :param fleet: this daemon's place in the fleet.
    :param ledger: calls that must not be repeated.
    :param moves: moves of traffic.
    :param traffic: which version serves what.
    :param orders: orders to backend servers.
    :param quotas: this daemon's parts of quotas.
    :param trimmer: keeps the audit trail bounded.
    """

    settings: DaemonSettings
    session: aiohttp.ClientSession
    random: Random
    counters: WireCounters
    book: ServerBook
    locations: LocationTable
    client: PeerClient
    socket: DatagramSocket
    server: PeerServer
    membership: MembershipController
    roles: RoleFinder
    keeper: ConfigKeeper
    fleet: FleetController
    ledger: Ledger
    moves: MovesController
    traffic: TrafficController
    orders: OrdersController
    quotas: QuotaController
    trimmer: AuditTrimmer

    @classmethod
    def from_settings(
        cls,
        settings: DaemonSettings,
        callers: Address,
        session: aiohttp.ClientSession,
        on_adopted: Callable[[Document, Revision], None],
    ) -> SharedParts:
        """
        Build the parts.

        :param settings: the host's own settings.
        :param callers: where this daemon serves callers.
        :param session: HTTP session to engines and platform.
        :param on_adopted: told when another configuration is in force.
        """
        random = Random(f'{settings.name} {time.time_ns()}')
        counters = WireCounters()
        registry = make_registry()
        client = PeerClient(registry, counters)
        mailbox: MembershipMailbox = asyncio.Queue()
        socket = DatagramSocket(registry, counters, mailbox)
        store = PlatformStore(session, settings.store)
        book = ServerBook()
        locations = LocationTable()
        membership = MembershipController(
            _describe(settings, callers),
            socket,
            mailbox,
            client,
            random,
            GossipPolicy(),
        )
        roles = RoleFinder(membership)
        keeper = ConfigKeeper(store, client, settings.site, on_adopted, random)
        fleet = FleetController(
            settings,
            HttpHostList(session, settings.host_list),
            membership,
            keeper,
            roles,
            random,
        )
        ledger = Ledger(settings.name, store, client, roles.owners)
        moves = MovesController(
            settings.name,
            store,
            client,
            roles.drivers,
            membership.state_fact,
        )
        quotas = QuotaController(
            settings.name,
            QuotaTable(),
            client,
            roles.quota_home,
            lambda: len(roles.daemon_names()),
        )
        dispatcher = Dispatcher(
            membership, keeper, locations, ledger, moves, quotas
        )
        return cls(
            settings=settings,
            session=session,
            random=random,
            counters=counters,
            book=book,
            locations=locations,
            client=client,
            socket=socket,
            server=PeerServer(settings.peers, registry, dispatcher, counters),
            membership=membership,
            roles=roles,
            keeper=keeper,
            fleet=fleet,
            ledger=ledger,
            moves=moves,
            traffic=TrafficController(moves, book),
            orders=OrdersController(
                OrderRepository(store),
                OrderClient(session),
                lambda: book.servers_by_name,
                roles.is_order_writer,
                fleet.state_order,
            ),
            quotas=quotas,
            trimmer=AuditTrimmer(store),
        )


@dataclasses.dataclass(frozen=True)
class RequestParts:
    """
    Parts that deal with callers and backend servers.

    :param admission: slots, queue and quotas.
    :param servers: load of the backend servers.
    :param generations: generations of this daemon.
    """

    admission: AdmissionController
    servers: ServersController
    generations: GenerationsController

    @classmethod
    def from_shared(cls, shared: SharedParts) -> RequestParts:
        """Build the parts on top of the shared ones."""
        settings = shared.settings
        servers = ServersController(
            settings.name,
            shared.session,
            shared.book,
            shared.roles.daemon_names,
            shared.traffic.split_of_server,
            shared.fleet.state_server_leaving,
            shared.random,
        )
        generations = GenerationsController(
            settings.name,
            settings.failure_domain,
            shared.book,
            EngineClient(shared.session),
            PeerDirectory(
                settings.name,
                shared.locations,
                shared.roles.homes,
                shared.client,
            ),
            connect_metrics(settings.statsd, settings.name),
            shared.random,
        )
        generations.observer.on_seen = shared.traffic.note_attempt
        generations.pick_version = shared.traffic.pick_version
        admission = AdmissionController(AdmissionLimits(0, 0))
        return cls(admission, servers, generations)


def _describe(settings: DaemonSettings, callers: Address) -> Member:
    return Member(
        name=settings.name,
        region=settings.region,
        failure_domain=settings.failure_domain,
        peers=settings.peers,
        callers=callers,
        incarnation=int(time.time() * _MS_PER_S),
    )
