"""Falcon resources that tell callers and operators about the system."""

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
    Addresses, models, health and readiness.

    :param state: configuration in force.
    :param list_addresses: gives the addresses for a caller's key.
    """

    def __init__(
        self, state: GatewayState, list_addresses: ListAddresses
    ) -> None:
        self._state = state
        self._list_addresses = list_addresses

    async def on_get_addresses(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Say which addresses to use and how long to keep the answer."""
        exchange = self._state.exchange(request)
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
        """List the models that callers may name."""
        exchange = self._state.exchange(request)
        response.media = {
            'object': 'list',
            'data': [_model(name) for name in exchange.document.models],
        }

    async def on_get_health(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Say that the process answers."""
        response.media = {'healthy': True}

    async def on_get_ready(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Say whether new work is welcome."""
        is_ready = self._state.document is not None
        is_welcome = is_ready and not self._state.is_stopping
        response.status = falcon.HTTP_OK if is_welcome else _UNAVAILABLE
        response.media = {
            'ready': is_welcome,
            'stopping': self._state.is_stopping,
        }


def _model(name: str) -> dict[str, Any]:
    return {
        'id': name,
        'object': 'model',
        'created': 0,
        'owned_by': 'bronzesill',
    }
