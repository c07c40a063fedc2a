"""Totals of services from the pages of metrics of all hosts."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import statistics
from collections.abc import Iterable, Sequence

import aiohttp
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from ..utils import Address

__all__ = ['ServiceRow', 'fetch_service_rows', 'merge_pages']

_TIMEOUT_S = 1.0
_PREFIX = 'bronzesill_service_'
_CONNECTIONS = 'connections_total'
#: Of what each host sees, the highest is shown: a host may not know of a
#: server, a pause or a failure yet.
_HIGHEST_OF = frozenset(('servers', 'slots', 'paused', 'suspected', 'leaving'))


@dataclasses.dataclass(frozen=True)
class ServiceRow:
    """
    Service as all hosts together see it.

    :param service: name of the service or model.
    :param hosts: number of hosts whose metrics were read.
    :param servers: number of listed servers.
    :param detail: slots, load, speeds, states and new connections.
    """

    service: str
    hosts: int
    servers: int
    detail: str


class _Samples:
    """
    Values of one service on the pages of all hosts.

    Values by name and further label, ``('speed', 'median')`` for example.
    """

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], list[float]] = {}

    def add(self, name: str, label: str, number: float) -> None:
        """Add a value of one host."""
        self._values.setdefault((name, label), []).append(number)

    def total(self, name: str, label: str = '') -> float:
        """Return the value of all hosts together."""
        values = self._values.get((name, label), [0])
        if name == _CONNECTIONS:
            return sum(values)
        if name in _HIGHEST_OF or label == 'highest':
            return max(values)
        if label == 'lowest':
            return min(values)
        return statistics.median(values)

    def describe(self) -> str:
        """Return a text with all totals but the number of servers."""
        parts = [
            f'{self.total(name):.0f} {name}'
            for name in ('slots', 'running', 'waiting')
        ]
        parts.extend(self._describe_ranges())
        parts.extend(
            f'{self.total(name):.0f} {name}'
            for name in ('paused', 'suspected', 'leaving')
        )
        opened = ' '.join(
            f'{purpose} {self.total(name, purpose):.0f}'
            for name, purpose in sorted(self._values)
            if name == _CONNECTIONS
        )
        parts.append(f'new connections: {opened or "none"}')
        return ', '.join(parts)

    def _describe_ranges(self) -> Iterable[str]:
        for name in ('speed', 'slowdown'):
            if (name, 'median') in self._values:
                median, lowest, highest = (
                    self.total(name, part)
                    for part in ('median', 'lowest', 'highest')
                )
                yield f'{name} {median:.2f} ({lowest:.2f} to {highest:.2f})'


async def fetch_service_rows(
    session: aiohttp.ClientSession, hosts: Iterable[Address]
) -> list[ServiceRow]:
    """
    Read the pages of metrics of all hosts; silent hosts are left out.

    :param session: HTTP session, owned by the caller.
    :param hosts: addresses of the pages.
    """
    pages = await asyncio.gather(*[_fetch(session, host) for host in hosts])
    return merge_pages([page for page in pages if page])


def merge_pages(pages: Sequence[str]) -> list[ServiceRow]:
    """
    Return a row for each service.

    Servers, slots and states are the highest that a host sees, reported loads
    and medians the median of the hosts, connections the sum.  Other texts
    than metrics are left out.

    :param pages: metrics of each host in the Prometheus text format.
    """
    samples_by_service: dict[str, _Samples] = {}
    hosts = 0
    for page in pages:
        with contextlib.suppress(ValueError):
            samples = _parse(page)
            hosts += 1
            for sample in samples:
                labels = dict(sample.labels)
                service = labels.pop('service', '')
                samples_by_service.setdefault(service, _Samples()).add(
                    sample.name.removeprefix(_PREFIX),
                    ''.join(labels.values()),
                    sample.value,
                )
    return [
        ServiceRow(
            service,
            hosts,
            int(samples.total('servers')),
            samples.describe(),
        )
        for service, samples in sorted(samples_by_service.items())
    ]


def _parse(page: str) -> list[Sample]:
    """
    Return the samples of all services on a page.

    :raises ValueError: the page is not in the text format of metrics.
    """
    return [
        sample
        for family in text_string_to_metric_families(page)
        if family.name.startswith(_PREFIX)
        for sample in family.samples
    ]


async def _fetch(session: aiohttp.ClientSession, host: Address) -> str:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with session.get(
            f'{host.url}/metrics', timeout=timeout
        ) as response:
            return await response.text()
    except (aiohttp.ClientError, TimeoutError):
        return ''
