"""The shared configuration as frozen data classes."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Mapping

from ..utils import Address

__all__ = [
    'BackendServer',
    'ClientAccount',
    'Document',
    'EngineTraits',
    'Limits',
    'ListedServer',
    'Model',
    'Operator',
    'Preferences',
    'Route',
    'Service',
]


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """
    An organisation that calls the system.

    :param key_sha256: SHA-256 of the account's key, in hexadecimal.
    :param weight: weight of the account's share when callers compete.
    :param max_running: generations that may run at once in the site.
    :param more_keys_sha256: further keys of the account, in the same form.
    :param priority: rank of its requests, 0 first; none leaves it to the
        route.
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
    A model that callers may name.

    :param version: backend server version that serves the model.
    """

    version: str


@dataclasses.dataclass(frozen=True)
class EngineTraits:
    """
    What the engines of a service are able to do.

    :param slots: requests an engine runs at once.
    :param memory_tokens: tokens that an engine's memory holds.
    :param keeps_copies: whether an engine keeps a copy of another one's run.
    :param copy_ttl_s: seconds for which a copy is kept after its run broke.
    """

    slots: int = 16
    memory_tokens: int = 0
    keeps_copies: bool = False
    copy_ttl_s: float = 0


@dataclasses.dataclass(frozen=True)
class Service:
    """
    A service that routes lead to.

    :param version: backend server version that serves it, empty for any.
    :param max_connections: connections a server accepts from all callers.
    :param engine: traits of its engines, none for a plain service.
    :param health_path: path of its servers' health check, empty for none.
    """

    version: str = ''
    max_connections: int = 100
    engine: EngineTraits | None = None
    health_path: str = ''


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """
    A model engine or a plain service.

    :param address: where the server listens.
    :param failure_domain: failure domain the server stands in.
    :param version: version the server runs.
    :param model: model an engine serves, empty for a plain service.
    :param service: name of a plain service, empty for an engine.
    :param capacity: requests the server handles well at once.
    :param checks_fencing: whether it refuses an old fencing number.
    :param memory_tokens: tokens that its memory holds, 0 if not known.
    :param started_at_s: seconds since the epoch of its start, 0 if not known.
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


@dataclasses.dataclass(frozen=True)
class ListedServer:
    """
    A backend server as it lists itself with the platform.

    :param server: what it is.
    :param is_leaving: whether it is about to go and takes nothing new.
    """

    server: BackendServer
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Route:
    """
    A path prefix that leads to a service.

    :param path: path prefix, beginning with a slash.
    :param service: service that serves it.
    :param idempotent: whether a call may be repeated; unknown means not.
    :param deadline_s: seconds within which a call must have answered.
    :param host: host name that it belongs to, empty for any.
    :param is_stream: whether its answers are streams of events.
    :param is_public: whether it takes requests without a key.
    :param max_attempts: servers that one request may be sent to.
    :param max_pause_s: longest pause between events of a punctual stream,
        0 for no bound.
    :param target_latency_s: time within which an answer is punctual, up to
        the first event of a stream; 0 for no bound.
    :param priority: rank of its requests, 0 first.
    :param weight_by_service: shares of several services; empty if
        ``service`` gets all.
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


@dataclasses.dataclass(frozen=True)
class Limits:
    """
    Limits at the entry.

    :param max_body_bytes: largest request body.
    :param body_timeout_s: seconds a caller may take to send a body.
    :param max_waiting: requests that may wait for a slot on one daemon.
    :param queue_timeout_s: seconds a request may wait for a slot.
    :param max_tokens: largest answer.
    :param deadline_s: seconds after which a generation is given up.
    :param address_ttl_s: seconds callers may keep an address.
    :param reconnect_window_s: seconds a generation outlives its caller.
    :param key_window_s: seconds for which an idempotency key is kept.
    :param max_header_bytes: largest head of a request.
    :param head_timeout_s: seconds a caller may take to send a head.
    :param idle_timeout_s: seconds a connection may be idle.
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
    What a site weighs against what.

    :param resume_latency_weight: 0 saves resources, 1 resumes soonest.
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
    :param limits: limits at the entry.
    :param preferences: what the site weighs against what.
    :param has_accounts: whether requests need an account's key.
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
        """Names of client accounts by the SHA-256 of each of their keys."""
        names: dict[str, str] = {}
        for name, account in self.accounts.items():
            names[account.key_sha256] = name
            for digest in account.more_keys_sha256:
                names[digest] = name
        return names

    def find_route(self, host: str, path: str) -> str | None:
        """
        Return the name of the route with the longest prefix.

        :param host: host name that was asked for.
        :param path: path that was asked for.
        """
        matching = [
            name
            for name, route in self.routes.items()
            if path.startswith(route.path) and route.host in {'', host}
        ]
        if not matching:
            return None
        return max(matching, key=lambda name: len(self.routes[name].path))
