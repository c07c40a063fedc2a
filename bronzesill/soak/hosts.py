"""Daemons as real processes on loopback addresses of their own."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import signal
import socket
import sys
import time
from pathlib import Path

import orjson

from ..daemon.hosted_main import main as daemon_main
from ..platform.listen_addresses import SETTINGS_VARIABLE
from ..utils import Address
from .bounds import GRACE_S, PLATFORM_BOUNDS
from .observations import Stop

__all__ = ['HostFleet', 'HostProcess']

_PORT_NAMES = ('frontend', 'registry', 'readiness', 'controlPlane', 'peers')
_FIRST_PORT = 21_000
_PORT_STEP = 20
_PEER_PORTS = 15
_MAX_PORT = 32_000
_FIRST_IP = 11
_IP_RANGE = 250
_DOMAINS = 'abc'
_READY_TIMEOUT_S = 60.0
_READY_POLL_S = 0.1
_EXIT_POLL_S = 0.02
_NS_PER_S = 1e9
_PROBE_TIMEOUT_S = 1.0


@dataclasses.dataclass
class HostProcess:
    """
    One host, whose process may be stopped and started again.

    :param number: number of the host.
    :param ip: IP address of the host.
    :param ports_by_name: ports of all hosts by the name of their use.
    :param folder: folder of the settings file and the log.
    :param store: address of the store.
    :param seeds: addresses of the hosts to contact first.
    :param code: folder of the version that the next process runs.
    """

    number: int
    ip: str
    ports_by_name: dict[str, int]
    folder: Path
    store: Address
    seeds: tuple[str, ...]
    code: Path
    process: asyncio.subprocess.Process | None = None
    #: Whether the process has been ready since its start.
    has_been_ready: bool = False

    @property
    def name(self) -> str:
        """Name of the host."""
        return f'host-{self.number}'

    @property
    def log_path(self) -> Path:
        """Path of the log of all processes of this host."""
        return self.folder / f'{self.name}.log'

    @property
    def is_running(self) -> bool:
        """Whether a process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def address(self, use: str) -> Address:
        """Return the address that serves a use."""
        return Address(self.ip, self.ports_by_name[use])

    async def start(self) -> None:
        """Start the process, without waiting until it is ready."""
        path = self.write_settings()
        self.has_been_ready = False
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                daemon_main.__module__,
                cwd=self.code,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f'{self.name}.json'
        path.write_bytes(orjson.dumps(self._settings()))
        return path

    def reload(self) -> None:
        """Write the settings file again and send SIGHUP."""
        self.write_settings()
        self._send(signal.SIGHUP)

    async def terminate(self) -> Stop:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        was_ready = self.has_been_ready
        signal_at_s = time.monotonic()
        held_up_before_s = self._held_up_s()
        held_up_s = held_up_before_s
        self._send(signal.SIGTERM)
        while self.is_running and time.monotonic() < signal_at_s + GRACE_S:
            held_up_s = self._held_up_s() or held_up_s
            await asyncio.sleep(_EXIT_POLL_S)
        was_killed = self.is_running
        await self.kill()
        return Stop(
            self.number,
            signal_at_s,
            time.monotonic(),
            was_killed,
            was_ready,
            held_up_s - held_up_before_s,
        )

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        if self.process is not None and self.is_running:
            self._send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        address = self.address('readiness')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address.ip, address.port
                )
                with contextlib.closing(writer):
                    writer.write(
                        b'GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n'
                    )
                    return b' 200 ' in await reader.readline()
        return False

    async def wait_until_ready(self) -> None:
        """
        Wait until the process is ready.

        :raises TimeoutError: it is not ready in time.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(_READY_POLL_S)
        self.has_been_ready = True

    def _held_up_s(self) -> float:
        """Return how long the process has waited for a processor."""
        if self.process is None:
            return 0
        with contextlib.suppress(OSError, IndexError):
            path = Path(f'/proc/{self.process.pid}/schedstat')
            return int(path.read_text().split()[1]) / _NS_PER_S
        return 0

    def _send(self, number: signal.Signals) -> None:
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def _settings(self) -> dict[str, object]:
        peer_port = self.ports_by_name['peers']
        return {
            'nodeName': self.name,
            'region': 'r',
            'zone': _DOMAINS[self.number % len(_DOMAINS)],
            'ip': self.ip,
            'listen': {use: str(self.address(use)) for use in _PORT_NAMES[:-1]},
            'portRange': [peer_port, peer_port + _PEER_PORTS],
            'seedNodes': self.seeds,
            'bounds': dict(PLATFORM_BOUNDS),
            'platform': {'address': str(self.store)},
        }


class HostFleet:
    """
    All hosts of a soak.

    :param count: number of hosts.
    :param folder: folder of settings and logs.
    :param store: address of the store.
    """

    def __init__(self, count: int, folder: Path, store: Address) -> None:
        ips = _choose_ips(count)
        ports = _choose_ports(ips)
        seeds = tuple(f'{ip}:{ports["controlPlane"]}' for ip in ips[:3])
        self.hosts = [
            HostProcess(number, ip, ports, folder, store, seeds, Path.cwd())
            for number, ip in enumerate(ips)
        ]

    async def start(self) -> None:
        """Start all hosts and wait until they are ready."""
        await asyncio.gather(*(host.start() for host in self.hosts))
        await asyncio.gather(*(host.wait_until_ready() for host in self.hosts))

    async def stop(self) -> None:
        """Kill all processes that this fleet started."""
        await asyncio.gather(*(host.kill() for host in self.hosts))


def _choose_ips(count: int) -> list[str]:
    """Return addresses that another soak on this machine does not use."""
    high, low = divmod(os.getpid(), _IP_RANGE)
    network = f'127.{1 + high % _IP_RANGE}.{low}'
    return [f'{network}.{_FIRST_IP + number}' for number in range(count)]


def _choose_ports(ips: list[str]) -> dict[str, int]:
    """Return ports that are free on all addresses, by the name of their use."""
    free = (
        port
        for port in range(_FIRST_PORT, _MAX_PORT, _PORT_STEP)
        if all(_is_free(ip, port) for ip in ips)
    )
    return dict(zip(_PORT_NAMES, free, strict=False))


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
