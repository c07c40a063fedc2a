"""Daemons in separate processes, for benchmarks on one machine."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from bronzesill.standins.fleet import free_address
from bronzesill.utils import Address

__all__ = ['DaemonProcess', 'ProcessFleet', 'Usage']

_DOMAINS = 6
_REGIONS = 3
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_MB = 1024 * 1024
_PAGE_BYTES = os.sysconf('SC_PAGESIZE')


@dataclasses.dataclass(frozen=True)
class Usage:
    """
    Resource usage of a process since its start.

    :param cpu_s: user and system processor time in seconds.
    :param rss_mb: resident memory in mebibytes.
    """

    cpu_s: float
    rss_mb: float


@dataclasses.dataclass
class DaemonProcess:
    """
    One daemon process.

    :param number: number of the daemon in the fleet.
    :param callers: address that serves callers.
    :param peers: address that serves other daemons.
    :param settings: path of the settings file.
    :param process: process that was started last, none before the first start.
    """

    number: int
    callers: Address
    peers: Address
    settings: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """Name of the host."""
        return f'entry-{self.number}'

    @property
    def failure_domain(self) -> str:
        """Failure domain of the host."""
        return f'domain-{self.number % _DOMAINS}'

    @property
    def region(self) -> str:
        """Region of the host."""
        return f'region-{self.number % _REGIONS}'

    async def start(self) -> None:
        """Start the process, without waiting until the daemon is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bronzesill.daemon.main',
            '--settings',
            str(self.settings),
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def usage(self) -> Usage:
        """Return the resource usage, zero if the process is not running."""
        if self.process is None or self.process.returncode is not None:
            return Usage(0, 0)
        try:
            stat = Path(f'/proc/{self.process.pid}/stat').read_text()
        except OSError:
            return Usage(0, 0)
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(fields[21])
        return Usage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES / _MB)


class ProcessFleet:
    """
    Daemon processes that share the platform's stand-ins.

    :param count: number of daemons.
    :param store: address of the key-value service.
    :param host_list: address of the service with the list of hosts.
    """

    def __init__(self, count: int, store: Address, host_list: Address) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.daemons = [
            self._make_daemon(number, store, host_list)
            for number in range(count)
        ]

    def _make_daemon(
        self, number: int, store: Address, host_list: Address
    ) -> DaemonProcess:
        path = Path(self._folder.name) / f'{number}.yaml'
        daemon = DaemonProcess(number, free_address(), free_address(), path)
        settings = {
            'name': daemon.name,
            'region': daemon.region,
            'failure_domain': daemon.failure_domain,
            'callers': str(daemon.callers),
            'peers': str(daemon.peers),
            'store': str(store),
            'host_list': str(host_list),
            'site': 'measured',
            'log_level': 'error',
        }
        path.write_text(yaml.safe_dump(settings))
        return daemon

    def host_entries(self) -> list[dict[str, Any]]:
        """Return the entries of the fleet in the list of hosts."""
        return [
            {
                'name': daemon.name,
                'peers': str(daemon.peers),
                'region': daemon.region,
                'failure_domain': daemon.failure_domain,
            }
            for daemon in self.daemons
        ]

    async def start(self, batch_size: int = 12) -> None:
        """
        Start all daemons in batches.

        :param batch_size: number of daemons started at a time.
        """
        for first in range(0, len(self.daemons), batch_size):
            batch = self.daemons[first : first + batch_size]
            await asyncio.gather(*(daemon.start() for daemon in batch))
            await asyncio.sleep(1.2)

    async def stop(self) -> None:
        """Kill all daemons and delete their settings files."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        self._folder.cleanup()

    async def fetch_statuses(
        self, session: aiohttp.ClientSession
    ) -> list[dict[str, Any]]:
        """Return the status of each daemon that answers within 5 s."""
        answers = await asyncio.gather(
            *(self._fetch_status(session, daemon) for daemon in self.daemons)
        )
        return [status for status in answers if status is not None]

    async def _fetch_status(
        self, session: aiohttp.ClientSession, daemon: DaemonProcess
    ) -> dict[str, Any] | None:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            timeout = aiohttp.ClientTimeout(total=5)
            async with session.get(
                f'{daemon.callers.url}/admin/status', timeout=timeout
            ) as response:
                status: dict[str, Any] = await response.json()
                return status
        return None
