"""Base class of the stand-ins that serve HTTP."""

from __future__ import annotations

from ..utils import Address, HttpServer

__all__ = ['HttpStandIn']


class HttpStandIn:
    """
    Stand-in that serves an ASGI application.

    :param address: address to listen on.
    """

    def __init__(self, address: Address) -> None:
        self._server = HttpServer(self._make_app, address)

    @property
    def address(self) -> Address:
        """Address of the listening socket, with the actual port."""
        return self._server.address

    async def start(self) -> None:
        """Start to serve requests."""
        await self._server.start()

    async def stop(self) -> None:
        """Abort all connections immediately, as a process crash does."""
        await self._server.kill()

    def abort_connections(self) -> None:
        """Abort all connections, as a failure of the network does."""
        self._server.abort_connections()

    def _make_app(self) -> object:
        """Return the ASGI application; implemented by subclasses."""
        raise NotImplementedError
