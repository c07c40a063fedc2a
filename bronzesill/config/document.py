"""Data classes of the shared configuration."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterator, Mapping

from ..utils import Address

__all__ = [
    'BackendServer',
    'ClientAccount',
    'Document',
    'EngineCapabilities',
    'Limits',
    'Model',
    'Operator',
    'Preferences',
    'RegisteredServer',
    'RequestPriority',
    'Route',
    'Service',
]


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """
    An organisation that sends requests.

    :param key_sha256: SHA-256 of the account's key, in hexadecimal.
    :param weight: relative share of capacity when accounts compete.
    :param max_running: maximum number of concurrent generations at the site.
    :param more_keys_sha256: SHA-256 of further keys, in hexadecimal.
    :param priority: priority of its requests, 0 is the highest; ``None`` uses
        the priority of the route.
    """

    key_sha256: str
    weight: int = 1
    max_running: int = 64
    more_keys_sha256: tuple[str, ...] = ()
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class Operator:
    """
    A person who may change the configuration.

    :param key_sha256: SHA-256 of the operator's key, in hexadecimal.
    """

    key_sha256: str


@dataclasses.dataclass(frozen=True)
class Model:
    """
    A model that requests may specify.

    :param version: version of the backend servers that serve the model.
    """

    version: str


@dataclasses.dataclass(frozen=True)
class EngineCapabilities:
    """
    Capabilities of the engines of a service.

    :param slots: number of requests that an engine runs concurrently.
    :param memory_tokens: capacity of an engine's memory, in tokens.
    :param keeps_copies: whether an engine stores a copy of another engine's
        run.
    :param copy_ttl_s: seconds for which a copy is retained after its run
        was interrupted.
    """

    slots: int = 16
    memory_tokens: int = 0
    keeps_copies: bool = False
    copy_ttl_s: float = 0


@dataclasses.dataclass(frozen=True)
class Service:
    """
    A service that is the target of routes.

    :param version: required backend server version, empty for any.
    :param max_connections: maximum number of connections that a server
        accepts in total.
    :param engine: capabilities of its engines, ``None`` for a plain service.
    :param health_path: path of its servers' health check, empty for none.
    """

    version: str = ''
    max_connections: int = 100
    engine: EngineCapabilities | None = None
    health_path: str = ''


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """
    A model engine or a plain service.

    :param address: address on which the server listens.
    :param failure_domain: failure domain of the server.
    :param version: version that the server runs.
    :param model: model served by an engine, empty for a plain service.
    :param service: name of a plain service, empty for an engine.
    :param capacity: number of concurrent requests without overload.
    :param checks_fencing: whether it rejects outdated fencing numbers.
    :param memory_tokens: capacity of its memory in tokens, 0 if unknown.
    :param started_at_s: start time in seconds since the epoch, 0 if unknown.
    """

    address: Address
    failure_domain: str
    version: str
    model: str = ''
    service: str = ''
    capacity: int = 16
    checks_fencing: bool = False
    memory_tokens: int = 0
    started_at_s: float = 0

    @property
    def service_name(self) -> str:
        """Name of the plain service, or the model of an engine."""
        return self.service or self.model


@dataclasses.dataclass(frozen=True)
class RegisteredServer:
    """
    A backend server as registered with the platform.

    :param server: description of the server.
    :param is_leaving: whether it is shutting down and accepts no new
        requests.
    :param sequence: number of its reports when it registered this, counted
        from its start.
    """

    server: BackendServer
    is_leaving: bool = False
    sequence: int = 0

    def is_later_than(self, other: RegisteredServer) -> bool:
        """Return whether the server registered this after another state."""
        mine = (self.server.started_at_s, self.sequence)
        return mine > (other.server.started_at_s, other.sequence)


@dataclasses.dataclass(frozen=True)
class Route:
    """
    A mapping from a path prefix to a service.

    :param path: path prefix, starting with a slash.
    :param service: service that handles matching requests.
    :param idempotent: whether requests may be retried; leave it false if
        unknown.
    :param deadline_s: seconds within which a request must be answered.
    :param host: host name that must match, empty for any.
    :param is_stream: whether responses are event streams.
    :param is_public: whether requests without a key are accepted.
    :param max_attempts: maximum number of servers tried for a request.
    :param max_pause_s: target for the longest pause between events of a
        stream, in seconds; 0 for none.
    :param target_latency_s: latency target in seconds, for a stream up to
        its first event; 0 for none.
    :param priority: priority of its requests, 0 is the highest.
    :param weight_by_service: relative share of requests for each of several
        services; empty if ``service`` receives all.
    """

    path: str
    service: str
    idempotent: bool = False
    deadline_s: float = 10
    host: str = ''
    is_stream: bool = False
    is_public: bool = False
    max_attempts: int = 3
    max_pause_s: float = 0
    target_latency_s: float = 0
    priority: int = 1
    weight_by_service: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, order=True)
class RequestPriority:
    """
    Priority of a request, the least is the most urgent.

    That of the client account takes precedence; that of the route decides
    between requests of equal accounts.

    :param account: priority of the client account, or of the route if the
        account has none.
    :param route: priority of the route.
    """

    account: int
    route: int


@dataclasses.dataclass(frozen=True)
class Limits:
    """
    Limits on incoming requests.

    :param max_body_bytes: maximum size of a request body.
    :param body_timeout_s: timeout for receiving a request body, in seconds.
    :param max_waiting: maximum number of requests queued on one daemon.
    :param queue_timeout_s: maximum time in the queue, in seconds.
    :param max_tokens: maximum number of tokens in an answer.
    :param deadline_s: seconds after which a generation is abandoned.
    :param address_ttl_s: seconds for which callers may cache an address.
    :param reconnect_window_s: seconds for which a generation continues after
        its caller disconnected.
    :param key_window_s: seconds for which an idempotency key is retained.
    :param max_header_bytes: maximum size of a request head.
    :param head_timeout_s: timeout for receiving a request head, in seconds.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    max_body_bytes: int = 1_000_000
    body_timeout_s: float = 10
    max_waiting: int = 64
    queue_timeout_s: float = 5
    max_tokens: int = 16_384
    deadline_s: float = 900
    address_ttl_s: float = 30
    reconnect_window_s: float = 8
    key_window_s: float = 3600
    max_header_bytes: int = 65_536
    head_timeout_s: float = 10
    idle_timeout_s: float = 60


@dataclasses.dataclass(frozen=True)
class Preferences:
    """
    Trade-offs selected by a site.

    :param resume_latency_weight: weight of the resume latency against
        resource use, from 0 (least resources) to 1 (lowest latency).
    """

    resume_latency_weight: float = 0.5


@dataclasses.dataclass(frozen=True)
class Document:
    """
    The configuration in force at one site.

    :param accounts: client accounts by name.
    :param models: models by name.
    :param servers: backend servers by name.
    :param services: services by name.
    :param routes: routes by name.
    :param operators: operators by name.
    :param limits: limits on incoming requests.
    :param preferences: trade-offs selected by the site.
    :param has_accounts: whether requests must carry the key of an account.
    """

    accounts: dict[str, ClientAccount]
    models: dict[str, Model]
    servers: dict[str, BackendServer]
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    routes: dict[str, Route] = dataclasses.field(default_factory=dict)
    operators: dict[str, Operator] = dataclasses.field(default_factory=dict)
    limits: Limits = dataclasses.field(default_factory=Limits)
    preferences: Preferences = dataclasses.field(default_factory=Preferences)
    has_accounts: bool = True

    @functools.cached_property
    def account_by_key(self) -> dict[str, str]:
        """Client account names by the SHA-256 of each account key."""
        names: dict[str, str] = {}
        for name, account in self.accounts.items():
            names[account.key_sha256] = name
            for digest in account.more_keys_sha256:
                names[digest] = name
        return names

    @functools.cached_property
    def priorities_by_service(self) -> dict[str, frozenset[RequestPriority]]:
        """Priorities that requests of each service can have."""
        priorities: dict[str, frozenset[RequestPriority]] = {}
        for route in self.routes.values():
            own = frozenset(self._priorities(route))
            for service in (route.service, *route.weight_by_service):
                priorities[service] = priorities.get(service, own) | own
        return priorities

    @functools.cached_property
    def stream_priorities_by_service(self) -> dict[str, frozenset[int]]:
        """Priorities of the streaming routes of each service."""
        priorities: dict[str, frozenset[int]] = {}
        for route in self.routes.values():
            own = frozenset((route.priority,) if route.is_stream else ())
            for service in (route.service, *route.weight_by_service):
                priorities[service] = priorities.get(service, own) | own
        return priorities

    @property
    def are_streams_ranked(self) -> bool:
        """Whether streaming routes of different priorities share a service."""
        return any(
            len(priorities) > 1
            for priorities in self.stream_priorities_by_service.values()
        )

    def request_priority(self, route: Route, account: str) -> RequestPriority:
        """
        Return the priority of a request.

        :param route: route of the request.
        :param account: client account of the caller, empty if unknown.
        """
        known = self.accounts.get(account)
        if known is None or known.priority is None:
            return RequestPriority(route.priority, route.priority)
        return RequestPriority(known.priority, route.priority)

    def find_route(self, host: str, path: str) -> str | None:
        """
        Return the name of the matching route with the longest prefix.

        :param host: requested host name.
        :param path: requested path.
        :returns: name of the route, ``None`` if none matches.
        """
        matching = [
            name
            for name, route in self.routes.items()
            if path.startswith(route.path) and route.host in {'', host}
        ]
        if not matching:
            return None
        return max(matching, key=lambda name: len(self.routes[name].path))

    def _priorities(self, route: Route) -> Iterator[RequestPriority]:
        is_open = route.is_public or not self.has_accounts
        for account in ('',) if is_open else self.accounts:
            yield self.request_priority(route, account)
