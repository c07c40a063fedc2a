"""Options of the sockets of a running host."""

import asyncio
import gc
import socket
import unittest

from ...standins.hosted_fleet import HostedFleet, HostedPlan
from .hosted_caller import HostedCaller


def _connected_sockets() -> list[socket.socket]:
    return [
        connected
        for connected in gc.get_objects()
        if isinstance(connected, socket.socket) and _is_connected(connected)
    ]


def _is_connected(connected: socket.socket) -> bool:
    if connected.type != socket.SOCK_STREAM:
        return False
    try:
        connected.getpeername()
    except OSError:
        return False
    return connected.family == socket.AF_INET


def _read_limits(connected: socket.socket) -> tuple[int, ...]:
    return (
        connected.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
        connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
        connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
        connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


class SocketOptionsTest(unittest.IsolatedAsyncioTestCase):
    """Connections that go silent for good end; a silent second ends none."""

    # A user timeout decides when keep-alive probes give up, whatever their
    # count, also one that a library has set.
    async def test_limits_of_all_connections_agree(self) -> None:
        caller = HostedCaller()
        async with HostedFleet(HostedPlan()) as fleet:
            address = fleet.daemons[0].settings.callers
            for target in ('/guides/1', '/lookups/1'):
                await caller.send_request(address, target)
            await asyncio.sleep(0.3)
            own_ports = {
                port
                for daemon in fleet.daemons
                for port in (
                    daemon.settings.callers.port,
                    daemon.settings.peers.port,
                )
            }
            far_ports = {fleet.store.address.port} | {
                worker.address.port for worker in fleet.workers_by_name.values()
            }
            accepted = set()
            reached = set()
            for connected in _connected_sockets():
                limits = _read_limits(connected)
                here = connected.getsockname()[1]
                there = connected.getpeername()[1]
                if here in own_ports:
                    self.assertEqual(limits, (1, 10, 5, 4, 30_000), here)
                    accepted.add(here)
                elif there in far_ports and limits[4]:
                    self.assertEqual(limits, (1, 10, 5, 4, 30_000), there)
                    reached.add(there)
        await caller.close()
        self.assertIn(address.port, accepted)
        # To the store, an engine and a server of the plain service.
        self.assertGreaterEqual(len(reached), 3)


if __name__ == '__main__':
    unittest.main()
