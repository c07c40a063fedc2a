"""The shared configuration as frozen data classes."""

from __future__ import annotations

import dataclasses

from ..utils import Address

__all__ = [
    'BackendServer',
    'ClientAccount',
    'Document',
    'Limits',
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
    """

    key_sha256: str
    weight: int = 1
    max_running: int = 64


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
class Service:
    """
    A plain service that routes lead to.

    :param version: backend server version that serves it, empty for any.
    """

    version: str = ''


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
    """

    address: Address
    failure_domain: str
    version: str
    model: str = ''
    service: str = ''
    capacity: int = 16
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Route:
    """
    A path prefix that leads to a plain service.

    :param path: path prefix, beginning with a slash.
    :param service: plain service that serves it.
    :param idempotent: whether a call may be repeated; unknown means not.
    :param deadline_s: seconds within which a call must have answered.
    """

    path: str
    service: str
    idempotent: bool = False
    deadline_s: float = 10


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


@dataclasses.dataclass(frozen=True)
class Preferences:
    """
    What a site weighs against what.

    :param resume_latency_weight: 0 saves resources, 1 resumes soonest.
    """

    resume_latency_weight: float = 0.5


@dataclasses.dataclass(frozen=True)
class Document:
    """The configuration in force at one site."""

    accounts: dict[str, ClientAccount]
    models: dict[str, Model]
    servers: dict[str, BackendServer]
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    routes: dict[str, Route] = dataclasses.field(default_factory=dict)
    operators: dict[str, Operator] = dataclasses.field(default_factory=dict)
    limits: Limits = dataclasses.field(default_factory=Limits)
    preferences: Preferences = dataclasses.field(default_factory=Preferences)
