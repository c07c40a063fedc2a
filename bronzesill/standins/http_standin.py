"""What all stand-ins that listen have in common."""

from __future__ import annotations

from ..utils import Address, HttpServer

__all__ = ['ServedStandIn']


class ServedStandIn:
    """
    A stand-in that serves an application.

    :param address: where it listens.
    """

    def __init__(self, address: Address) -> None:
        self._server = HttpServer(self._make_app, address)

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._server.address

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End at once, as a crash would."""
        await self._server.kill()

    def _make_app(self) -> object:
        """Return the application; each stand-in has its own."""
        raise NotImplementedError
