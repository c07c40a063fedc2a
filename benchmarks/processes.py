"""Daemons as processes of their own, for measurements on one machine."""

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
    What a process has used so far.

    :param cpu_s: seconds of processor time.
    :param rss_mb: resident memory in megabytes.
    """

    cpu_s: float
    rss_mb: float


@dataclasses.dataclass
class DaemonProcess:
    """
    One daemon process.

    :param number: its number in the fleet.
    :param callers: address for callers.
    :param peers: address for other daemons.
    :param settings: its settings file.
    :param process: the running process.
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
    def domain(self) -> str:
        """Failure domain of the host."""
        return f'domain-{self.number % _DOMAINS}'

    @property
    def region(self) -> str:
        """Region of the host."""
        return f'region-{self.number % _REGIONS}'

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bronzesill.daemon.main',
            '--settings',
            str(self.settings),
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def kill(self) -> None:
        """End the process without warning."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def usage(self) -> Usage:
        """Read what the process has used so far."""
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
    Daemon processes that share stand-ins of the platform.

    :param count: number of daemons.
    :param store: address of the key-value service.
    :param host_list: address of the list of hosts.
    """

    def __init__(self, count: int, store: Address, host_list: Address) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.daemons = [
            self._plan(number, store, host_list) for number in range(count)
        ]

    def _plan(
        self, number: int, store: Address, host_list: Address
    ) -> DaemonProcess:
        path = Path(self._folder.name) / f'{number}.yaml'
        daemon = DaemonProcess(number, free_address(), free_address(), path)
        settings = {
            'name': daemon.name,
            'region': daemon.region,
            'failure_domain': daemon.domain,
            'callers': str(daemon.callers),
            'peers': str(daemon.peers),
            'store': str(store),
            'host_list': str(host_list),
            'site': 'measured',
            'log_level': 'error',
        }
        path.write_text(yaml.safe_dump(settings))
        return daemon

    def listed(self) -> list[dict[str, Any]]:
        """Return the fleet as the list of hosts shows it."""
        return [
            {
                'name': daemon.name,
                'peers': str(daemon.peers),
                'region': daemon.region,
                'failure_domain': daemon.domain,
            }
            for daemon in self.daemons
        ]

    async def start(self, at_once: int = 12) -> None:
        """Start all daemons, a few at a time."""
        for first in range(0, len(self.daemons), at_once):
            group = self.daemons[first : first + at_once]
            await asyncio.gather(*(daemon.start() for daemon in group))
            await asyncio.sleep(1.2)

    async def stop(self) -> None:
        """End all daemons without warning."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        self._folder.cleanup()

    async def statuses(
        self, session: aiohttp.ClientSession
    ) -> list[dict[str, Any]]:
        """Read the status of all daemons that answer."""
        found = await asyncio.gather(
            *(self._status(session, daemon) for daemon in self.daemons)
        )
        return [status for status in found if status is not None]

    async def _status(
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
