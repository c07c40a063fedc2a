"""Falcon resource for addresses, models, health and readiness."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import falcon
from falcon import asgi

from ..utils import Address
from .state import GatewayState

__all__ = ['InformationResource', 'ListAddresses']

_UNAVAILABLE = '503 Service Unavailable'


ListAddresses: TypeAlias = Callable[[str], tuple[Address, ...]]


class InformationResource:
    """
    Discovery and health check endpoints of a daemon.

    :param state: configuration in force.
    :param list_addresses: returns the addresses for a string that identifies
        the caller.
    """

    def __init__(
        self, state: GatewayState, list_addresses: ListAddresses
    ) -> None:
        self._state = state
        self._list_addresses = list_addresses

    async def on_get_addresses(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return the caller's addresses and their time to live in seconds."""
        exchange = self._state.new_exchange(request)
        key = request.get_header('Authorization') or ''
        caller = f'{key} {request.remote_addr}'
        response.media = {
            'addresses': [
                {'address': str(address)}
                for address in self._list_addresses(caller)
            ],
            'ttl_s': exchange.document.limits.address_ttl_s,
        }

    async def on_get_models(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the available models."""
        exchange = self._state.new_exchange(request)
        response.media = {
            'object': 'list',
            'data': [_model(name) for name in exchange.document.models],
        }

    async def on_get_health(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return success whenever the process is able to respond."""
        response.media = {'healthy': True}

    async def on_get_ready(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """
        Return whether the daemon accepts new work.

        The status is 503 without a configuration and while stopping.
        """
        has_configuration = self._state.document is not None
        is_accepting_work = has_configuration and not self._state.is_stopping
        response.status = falcon.HTTP_OK if is_accepting_work else _UNAVAILABLE
        response.media = {
            'ready': is_accepting_work,
            'stopping': self._state.is_stopping,
        }


def _model(name: str) -> dict[str, Any]:
    return {
        'id': name,
        'object': 'model',
        'created': 0,
        'owned_by': 'bronzesill',
    }
