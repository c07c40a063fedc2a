"""
Measure the overhead of a daemon between caller and engine.

``python -m benchmarks.relay`` starts one daemon and four engines as
processes.  It compares requests sent directly to an engine with requests
relayed by the daemon: time to the first token and time between tokens.  It
also measures the daemon's processor time per token and its memory when idle.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time

import aiohttp
import yaml

from bronzesill.config.repository import ConfigChange, ConfigRepository
from bronzesill.platform.store import PlatformStore
from bronzesill.standins import HostListStandIn, StoreStandIn
from bronzesill.standins.fleet import free_address
from bronzesill.utils import Address, hash_secret

from .processes import ProcessFleet
from .report import percentiles_of, print_table

_ENGINES = 4
_KEY = 'bz-relay'


async def _start_engine(address: Address) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bronzesill.standins',
        'engine',
        '--address',
        str(address),
        '--pace-s',
        '0.005',
        '--capacity',
        '64',
    )


def _document(engines: list[Address]) -> str:
    return yaml.safe_dump(
        {
            'accounts': {
                'relay': {
                    'key_sha256': hash_secret(_KEY),
                    'max_running': 1000,
                }
            },
            'models': {'guide': {'version': 'v1'}},
            'servers': {
                f'engine-{number}': {
                    'address': str(address),
                    'failure_domain': 'a',
                    'version': 'v1',
                    'model': 'guide',
                    'capacity': 64,
                }
                for number, address in enumerate(engines)
            },
        }
    )


class Caller:
    """
    Reads streams and records the timing of their events.

    :param session: HTTP session.
    :param url: base URL of the daemon or engine.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url
        self.first_token_s: list[float] = []
        self.token_gaps_s: list[float] = []
        self.tokens = 0

    async def read(self, body: dict[str, object]) -> None:
        """
        Request one stream and read it to its end.

        :param body: body of the completion request.
        :raises aiohttp.ClientResponseError: if the status is not a success.
        """
        started_s = time.perf_counter()
        last_arrival_s = 0.0
        headers = {'Authorization': f'Bearer {_KEY}'}
        async with self.session.post(
            f'{self.url}/v1/completions', json=body, headers=headers
        ) as response:
            response.raise_for_status()
            async for chunk in response.content.iter_any():
                now_s = time.perf_counter()
                events = chunk.count(b'data: {')
                if not last_arrival_s:
                    self.first_token_s.append(now_s - started_s)
                elif events:
                    self.token_gaps_s.extend(
                        [(now_s - last_arrival_s) / events] * events
                    )
                last_arrival_s = now_s
                self.tokens += events


def _body(number: int, tokens: int) -> dict[str, object]:
    return {
        'model': 'guide',
        'prompt': f'catalogue {number}',
        'seed': number,
        'max_tokens': tokens,
        'stream': True,
        'stream_id': f'direct-{number}-{time.time_ns()}',
    }


async def _measure_first_tokens(caller: Caller, count: int) -> None:
    for number in range(count):
        await caller.read(_body(number, 3))


async def _run_streams(
    callers: list[Caller], streams: int, tokens: int
) -> None:
    await asyncio.gather(
        *(
            callers[number % len(callers)].read(_body(number, tokens))
            for number in range(streams)
        )
    )


async def _measure(options: argparse.Namespace) -> None:
    store = StoreStandIn(Address('127.0.0.1', 0))
    hosts = HostListStandIn(Address('127.0.0.1', 0), lag_s=0)
    await store.start()
    await hosts.start()
    engines = [free_address() for _ in range(_ENGINES)]
    processes = [await _start_engine(address) for address in engines]
    fleet = ProcessFleet(1, store.address, hosts.address)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        repository = ConfigRepository(PlatformStore(store.address))
        change = ConfigChange(_document(engines), {}, 'bench', 'relay', 0)
        await repository.apply(None, change, 0)
        await fleet.start()
        daemon = fleet.daemons[0]
        while not await fleet.fetch_statuses(session):
            await asyncio.sleep(0.2)
        await asyncio.sleep(3)
        print(f'idle daemon: {daemon.usage().rss_mb:.1f} MB', flush=True)
        rows = []
        direct = Caller(session, engines[0].url)
        relayed = Caller(session, daemon.callers.url)
        await _measure_first_tokens(direct, options.requests)
        await _measure_first_tokens(relayed, options.requests)
        for name, caller in (('direct', direct), ('daemon', relayed)):
            spread = percentiles_of(
                [1000 * each for each in caller.first_token_s]
            )
            rows.append((name, 'first token', spread.p50, spread.p95))
        for streams in options.streams:
            for name, callers in (
                ('direct', [Caller(session, each.url) for each in engines]),
                ('daemon', [Caller(session, daemon.callers.url)]),
            ):
                cpu_before_s = daemon.usage().cpu_s
                started_s = time.perf_counter()
                await _run_streams(callers, streams, options.tokens)
                elapsed_s = time.perf_counter() - started_s
                cpu_s = daemon.usage().cpu_s - cpu_before_s
                gaps = [
                    1000 * gap for each in callers for gap in each.token_gaps_s
                ]
                tokens = sum(each.tokens for each in callers)
                spread = percentiles_of(gaps)
                rows.append(
                    (name, f'{streams} streams', spread.p50, spread.p95)
                )
                if name == 'daemon':
                    print(
                        f'{streams} streams: '
                        f'{tokens / elapsed_s:.0f} tokens/s, '
                        f'{1e6 * cpu_s / tokens:.1f} us of processor time '
                        'per token, '
                        f'{tokens / cpu_s:.0f} tokens/s on one core',
                        flush=True,
                    )
        print_table(('target', 'measured', 'p50 ms', 'p95 ms'), rows)
    await fleet.stop()
    for process in processes:
        process.kill()
        await process.wait()
    await store.stop()
    await hosts.stop()


def main() -> None:
    """Run the measurement and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=200)
    parser.add_argument('--streams', type=int, nargs='+', default=[16, 64, 200])
    parser.add_argument('--tokens', type=int, default=300)
    asyncio.run(_measure(parser.parse_args()))


if __name__ == '__main__':
    main()
