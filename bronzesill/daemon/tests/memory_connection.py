"""Connection between a caller and a host without a network."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import httptools
import uvicorn
from uvicorn.server import ServerState

from ...utils.connections import (
    ConnectionPhase,
    LimitedConnection,
    ServingLimits,
)
from ...utils.serving import _uvicorn_config

__all__ = ['CallerConnection', 'HostConnections']


class _Transport(asyncio.Transport):
    """
    The host's end.

    :param protocol: protocol of the host.
    :param on_data: called with the bytes that the host sends.
    """

    def __init__(
        self, protocol: LimitedConnection, on_data: Callable[[bytes], None]
    ) -> None:
        super().__init__()
        self._protocol = protocol
        self._on_data = on_data
        self._is_closing = False
        self._is_paused = False
        self._received: list[bytes] = []
        #: Time at which the host closed the connection, and its limits then.
        self.closed_at_s: float = 0
        self.limits = ServingLimits()

    def is_closing(self) -> bool:
        """Return whether the host has closed the connection."""
        return self._is_closing

    def receive(self, sent: bytes) -> None:
        """Pass bytes of the caller to the host unless it reads none."""
        self._received.append(sent)
        self._deliver()

    def pause_reading(self) -> None:
        """Keep what the caller sends."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Pass on what the caller has sent meanwhile."""
        self._is_paused = False
        self._deliver()

    def write(self, data: Any) -> None:
        """Send bytes to the caller."""
        if not self._is_closing:
            self._on_data(bytes(data))

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closing:
            self._is_closing = True
            loop = asyncio.get_running_loop()
            self.closed_at_s = loop.time()
            self.limits = self._protocol._get_limits()
            loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        """Close the connection."""
        self.close()

    def _deliver(self) -> None:
        while self._received and not (self._is_paused or self._is_closing):
            self._protocol.data_received(self._received.pop(0))


class CallerConnection:
    """
    The caller's end, which parses the answers.

    :param protocol: protocol of the host.
    """

    def __init__(self, protocol: LimitedConnection) -> None:
        self.protocol = protocol
        self.transport = _Transport(protocol, self._receive)
        self.statuses: list[int] = []
        self.is_announced = False
        self.idle_since_s = asyncio.get_running_loop().time()
        self._begun = 0
        self._parser = httptools.HttpResponseParser(self)
        protocol.connection_made(self.transport)

    @property
    def is_answer_begun(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._begun > len(self.statuses)

    def send(self, sent: bytes) -> bool:
        """Send bytes and return whether the connection was open."""
        if self.transport.is_closing():
            return False
        self.transport.receive(sent)
        return True

    def on_message_begin(self) -> None:
        """Note the begin of an answer."""
        self._begun += 1

    def on_header(self, name: bytes, text: bytes) -> None:
        """Note that the host is going to close the connection."""
        if name.lower() == b'connection' and text.lower() == b'close':
            self.is_announced = True

    def on_message_complete(self) -> None:
        """Note a whole answer."""
        status = self._parser.get_status_code()
        if status >= 200:
            self.statuses.append(status)
        self.idle_since_s = asyncio.get_running_loop().time()

    def _receive(self, received: bytes) -> None:
        self._parser.feed_data(received)


class HostConnections:
    """
    Connections to one host.

    :param app: application of the host.
    :param get_limits: returns the limits in force.
    """

    def __init__(self, app: Any, get_limits: Callable[[], Any]) -> None:
        phase = ConnectionPhase()
        self._config: uvicorn.Config = _uvicorn_config(app, get_limits, phase)
        self._config.load()
        self._state = ServerState()
        self._make_protocol = functools.partial(
            LimitedConnection, get_limits, phase
        )

    def open(self) -> CallerConnection:
        """Open a connection."""
        return CallerConnection(
            self._make_protocol(
                config=self._config, server_state=self._state, app_state={}
            )
        )

    def close(self) -> None:
        """Close all connections, as a host does that exits."""
        for connection in tuple(self._state.connections):
            connection.transport.abort()
        for task in tuple(self._state.tasks):
            task.cancel()
