"""What the platform and its callers ask a host by itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from falcon import asgi

from ..utils import Address

__all__ = ['ListAddresses', 'make_directory_app', 'make_readiness_app']

_READY = 200
_NOT_READY = 503


class ListAddresses(Protocol):
    """Gives the addresses that a caller may use."""

    def __call__(self, failure_domain: str) -> tuple[Address, ...]:
        """Return addresses for a caller in a failure domain."""


class _Directory:
    def __init__(self, list_addresses: ListAddresses, ttl_s: float) -> None:
        self._list_addresses = list_addresses
        self._ttl_s = ttl_s

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        addresses = self._list_addresses(req.get_param('zone') or '')
        resp.media = {
            'addresses': [str(address) for address in addresses],
            'ttlS': self._ttl_s,
        }


class _Readiness:
    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        resp.status = _READY if self._is_ready() else _NOT_READY


def make_directory_app(
    list_addresses: ListAddresses, ttl_s: float
) -> asgi.App[Any, Any]:
    """
    Return the application that callers ask for addresses.

    :param list_addresses: gives the addresses.
    :param ttl_s: seconds for which an answer is kept.
    """
    app: asgi.App[Any, Any] = asgi.App()
    app.add_route('/v1/lookup', _Directory(list_addresses, ttl_s))
    return app


def make_readiness_app(is_ready: Callable[[], bool]) -> asgi.App[Any, Any]:
    """Return the application that the platform asks for readiness."""
    app: asgi.App[Any, Any] = asgi.App()
    app.add_route('/v1/readyz', _Readiness(is_ready))
    return app
