"""The components of a daemon and how they are connected."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from random import Random

import aiohttp

from ..audit.trimmer import AuditTrimmer
from ..calls.ledger_client import Ledger
from ..config import Document
from ..config.revision import Revision
from ..config.settings import DaemonSettings
from ..generations import GenerationsController, LocationTable
from ..generations.engine_client import EngineClient
from ..generations.peer_directory import PeerDirectory
from ..limits.admission import AdmissionLimits
from ..limits.controller import AdmissionController
from ..limits.quota import QuotaTable
from ..limits.quota_controller import QuotaController
from ..membership import (
    GossipPolicy,
    Member,
    MembershipController,
    MembershipQueue,
)
from ..moves import MovesController
from ..orders import OrderClient, OrderRepository, OrdersController
from ..platform.hosts import HttpHostList
from ..platform.store import PlatformStore
from ..routing import ServerTracker
from ..store import GuardedStore
from ..utils import Address
from ..utils.statsd_metrics import connect_metrics
from ..wire import DatagramSocket, PeerClient, PeerServer, WireCounters
from .config_controller import ConfigController
from .fleet import FleetController
from .protocol import Dispatcher, make_native_registry
from .roles import RoleFinder
from .servers import ServersController
from .traffic import TrafficController

__all__ = ['RequestComponents', 'SharedComponents']

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class SharedComponents:
    """
    Components that communicate with the platform and with other daemons.

    :param settings: settings of this host.
    :param session: HTTP session to engines and the platform.
    :param random: generator for random choices and jitter.
    :param counters: counters of the traffic with peers.
    :param tracker: state of the backend servers.
    :param locations: location records of generations stored here.
    :param client: client for requests to peers.
    :param socket: socket for datagrams to peers.
    :param server: server that answers requests of peers.
    :param membership: this daemon's view of the fleet.
    :param roles: assignment of roles to daemons.
    :param config_controller: controller of the configuration in force.
    :param fleet: discovery of peers and publication of facts.
    :param ledger: ledger of at-most-once calls.
    :param moves: controller of traffic moves.
    :param store: client of the platform's key-value service.
    :param traffic: selection of the version that serves a request.
    :param orders: controller of orders to backend servers.
    :param quotas: quota granted to this daemon by client account.
    :param trimmer: limits the size of the audit trail.
    """

    settings: DaemonSettings
    session: aiohttp.ClientSession
    random: Random
    counters: WireCounters
    tracker: ServerTracker
    locations: LocationTable
    client: PeerClient
    socket: DatagramSocket
    server: PeerServer
    membership: MembershipController
    roles: RoleFinder
    config_controller: ConfigController
    fleet: FleetController
    ledger: Ledger
    moves: MovesController
    store: GuardedStore
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
    ) -> SharedComponents:
        """
        Create and connect the components.

        :param settings: settings of this host.
        :param callers: address at which this daemon serves callers.
        :param session: HTTP session to engines and the platform.
        :param on_adopted: called with each configuration that comes into
            force.
        """
        random = Random(f'{settings.name} {time.time_ns()}')
        counters = WireCounters()
        registry = make_native_registry()
        client = PeerClient(registry, counters)
        membership_queue: MembershipQueue = asyncio.Queue()
        socket = DatagramSocket(registry, counters, membership_queue)
        store = GuardedStore(PlatformStore(settings.store))
        tracker = ServerTracker()
        locations = LocationTable()
        membership = MembershipController(
            _own_member(settings, callers),
            socket,
            membership_queue,
            client,
            random,
            GossipPolicy(),
        )
        roles = RoleFinder(membership)
        config_controller = ConfigController(
            store, client, settings.site, on_adopted, random
        )
        fleet = FleetController(
            settings,
            HttpHostList(session, settings.host_list),
            membership,
            config_controller,
            roles,
            random,
        )
        ledger = Ledger(settings.name, store, client, roles.owners)
        moves = MovesController(
            settings.name,
            store,
            client,
            roles.drivers,
            membership.publish_fact,
        )
        moves.list_peers = roles.other_daemons
        quotas = QuotaController(
            settings.name,
            QuotaTable(),
            client,
            roles.quota_coordinator,
            lambda: len(roles.daemon_names()),
        )
        dispatcher = Dispatcher(
            membership, config_controller, locations, ledger, moves, quotas
        )
        return cls(
            settings=settings,
            session=session,
            store=store,
            random=random,
            counters=counters,
            tracker=tracker,
            locations=locations,
            client=client,
            socket=socket,
            server=PeerServer(settings.peers, registry, dispatcher, counters),
            membership=membership,
            roles=roles,
            config_controller=config_controller,
            fleet=fleet,
            ledger=ledger,
            moves=moves,
            traffic=TrafficController(moves, tracker),
            orders=OrdersController(
                OrderRepository(store),
                OrderClient(session),
                lambda: tracker.servers_by_name,
                roles.is_order_writer,
                fleet.publish_order,
            ),
            quotas=quotas,
            trimmer=AuditTrimmer(store),
        )


@dataclasses.dataclass(frozen=True)
class RequestComponents:
    """
    Components that communicate with callers and backend servers.

    :param admission: controller of slots, queue and quotas.
    :param servers: selects backend servers and polls their load.
    :param generations: controller of the generations of this daemon.
    """

    admission: AdmissionController
    servers: ServersController
    generations: GenerationsController

    @classmethod
    def from_shared(cls, shared: SharedComponents) -> RequestComponents:
        """Create the components on top of the shared ones."""
        settings = shared.settings
        servers = ServersController(
            settings.name,
            shared.session,
            shared.tracker,
            shared.roles.daemon_names,
            shared.traffic.split_of_server,
            shared.fleet.publish_server_leaving,
            shared.random,
        )
        generations = GenerationsController(
            settings.name,
            settings.failure_domain,
            shared.tracker,
            EngineClient(shared.session),
            PeerDirectory(
                settings.name,
                shared.locations,
                shared.roles.location_replicas,
                shared.client,
            ),
            connect_metrics(settings.statsd, settings.name),
            shared.random,
        )
        generations.observer.on_attempt_observed = shared.traffic.record_attempt
        generations.placer.pick_version = shared.traffic.pick_version
        admission = AdmissionController(AdmissionLimits(0, 0))
        return cls(admission, servers, generations)


def _own_member(settings: DaemonSettings, callers: Address) -> Member:
    return Member(
        name=settings.name,
        region=settings.region,
        failure_domain=settings.failure_domain,
        peers=settings.peers,
        callers=callers,
        incarnation=int(time.time() * _MS_PER_S),
    )
