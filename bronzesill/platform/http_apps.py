"""HTTP applications of a host for address lookup and readiness checks."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from falcon import asgi

from ..utils import Address

__all__ = [
    'ListedAddresses',
    'LookUp',
    'make_directory_app',
    'make_readiness_app',
]

_READY = 200
_NOT_READY = 503


@dataclasses.dataclass(frozen=True)
class ListedAddresses:
    """
    Answer to a look-up.

    :param addresses: addresses that a caller may use.
    :param ttl_s: seconds for which it may keep them.
    """

    addresses: tuple[Address, ...]
    ttl_s: float


class LookUp(Protocol):
    """Function that answers a look-up."""

    async def __call__(self, failure_domain: str) -> ListedAddresses:
        """
        Return the addresses of daemons that accept new work.

        :param failure_domain: failure domain of the caller, empty if unknown.
        """


class _LookupResource:
    def __init__(self, look_up: LookUp) -> None:
        self._look_up = look_up

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        listed = await self._look_up(req.get_param('zone') or '')
        resp.media = {
            'addresses': [str(address) for address in listed.addresses],
            'ttlS': listed.ttl_s,
        }


class _ReadinessResource:
    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_get(self, req: asgi.Request, resp: asgi.Response) -> None:
        resp.status = _READY if self._is_ready() else _NOT_READY


def make_directory_app(look_up: LookUp) -> asgi.App[Any, Any]:
    """
    Return the application from which callers look up addresses.

    :param look_up: answers the look-ups.
    """
    app: asgi.App[Any, Any] = asgi.App()
    app.add_route('/v1/lookup', _LookupResource(look_up))
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
