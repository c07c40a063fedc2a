"""HTTP applications of a host for address lookup and readiness checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from falcon import asgi

from ..utils import Address

__all__ = ['ListAddresses', 'make_directory_app', 'make_readiness_app']

_READY = 200
_NOT_READY = 503


class ListAddresses(Protocol):
    """Function that returns the addresses a caller may use."""

    def __call__(self, failure_domain: str) -> tuple[Address, ...]:
        """
        Return the addresses of daemons that accept new work.

        :param failure_domain: failure domain of the caller, empty if unknown.
        """


class _LookupResource:
    def __init__(self, list_addresses: ListAddresses, ttl_s: float) -> None:
        self._list_addresses = list_addresses
        self._ttl_s = ttl_s

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        addresses = self._list_addresses(req.get_param('zone') or '')
        resp.media = {
            'addresses': [str(address) for address in addresses],
            'ttlS': self._ttl_s,
        }


class _ReadinessResource:
    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        resp.status = _READY if self._is_ready() else _NOT_READY


def make_directory_app(
    list_addresses: ListAddresses, ttl_s: float
) -> asgi.App[Any, Any]:
    """
    Return the application from which callers look up addresses.

    :param list_addresses: returns the addresses for a failure domain.
    :param ttl_s: seconds for which callers may cache a response.
    """
    app: asgi.App[Any, Any] = asgi.App()
    app.add_route('/v1/lookup', _LookupResource(list_addresses, ttl_s))
    return app


def make_readiness_app(is_ready: Callable[[], bool]) -> asgi.App[Any, Any]:
    """
    Return the application with which the platform checks readiness.

    :param is_ready: returns whether the host accepts requests; the response
        has status 200 if so, otherwise 503.
    """
    app: asgi.App[Any, Any] = asgi.App()
    app.add_route('/v1/readyz', _ReadinessResource(is_ready))
    return app
