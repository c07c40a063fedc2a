"""A small deployment on loopback: store, workers, clients and daemons."""

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import httpio
from store import Store

ROOT = Path(__file__).resolve().parents[2]
KEY = 'key-of-huka'
HOST = 'ficu95.example'
BOUNDS = {
    'seedLagS': 3, 'reuseDelayS': 2, 'contactMs': 3000, 'ackTimeoutMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'gracePeriodS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'revokeStrict': False, 'revokeMs': 5000, 'retryBudgetRatio': 0.8,
    'budgetWindowS': 10, 'budgetSlack': 150, 'exposureRatio': 0.1,
    'exposureTolerance': 50, 'rollbackMs': 5000, 'recoveryS': 12,
    'deliveryLagMs': 120, 'reuseWindowS': 10, 'ttl_max_s': 5,
}
#: Longest time of a case in seconds, with some for its end.
LONGEST_S = 117
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def configuration(version=1, **fields):
    """Return a configuration with an unsafe, a safe and a stream route."""
    route = {'host': HOST, 'priority': 2}
    return {
        'version': version,
        'routes': [
            {**route, 'name': 'order', 'prefix': '/order/', 'routeType': 'non_idempotent',
             'service': 'shop', 'maxAttempts': 1, 'timeoutMs': 1500, 'targetLatencyMs': 400},
            {**route, 'name': 'check', 'prefix': '/check/', 'routeType': 'idempotent',
             'service': 'shop', 'maxAttempts': 2, 'timeoutMs': 1500, 'targetLatencyMs': 400},
            {**route, 'name': 'guide', 'prefix': '/guide/', 'routeType': 'streaming',
             'service': 'engines', 'maxAttempts': 5, 'timeoutMs': 25000, 'targetLatencyMs': 4500,
             'itlTargetMs': 700, 'resumable': True, 'sessionAffinity': True, 'priority': 1},
        ],
        'services': [
            {'name': 'shop', 'healthPath': '/healthz', 'maxConnections': 100},
            {'name': 'engines', 'healthPath': '/healthz', 'maxConnections': 150,
             'inferenceEngine': {'slots': 12, 'kvCapacity': 88000}},
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 1000000,
                   'headerTimeoutMs': 5000, 'idleTimeoutMs': 10000},
        'tenants': [{'name': 'huka', 'apiKeys': [KEY]}],
        **fields,
    }


class Daemon:
    """One process of the system, started with the words of the deploy file."""

    def __init__(self, fleet, name, ip, zone):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.starts = 0
        self.exits = []

    @property
    def frontend(self):
        return self.ip, self.fleet.ports['frontend']

    async def start(self):
        self.starts += 1
        path = Path(self.fleet.folder) / f'{self.name}.json'
        path.write_text(json.dumps(self.fleet.settings(self)))
        words = self.fleet.command
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['BRONZESILL_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = 'target/deps'
        log = open(Path(self.fleet.folder) / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        self.fleet.record(f'{self.name} started')

    def signal(self, number):
        self.fleet.record(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def wait(self, seconds):
        """Wait until the process has ended; return its status, None if not."""
        try:
            status = await asyncio.wait_for(self.process.wait(), seconds)
        except asyncio.TimeoutError:
            return None
        self.fleet.record(f'{self.name} ended with status {status}')
        return status

    async def is_ready(self):
        try:
            status, *_ = await self.fleet.get(
                self.ip, self.fleet.ports['readiness'], '/v1/readyz', 1
            )
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return status == 200


class Fleet:
    """
    The deployment of one case.

    :param folder: folder of the case, which receives `record.txt`.
    """

    def __init__(self, folder):
        self.case = Path(folder)
        self._lines = []
        self._start = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.store = Store(self.record)
        self.workers = []
        self.daemons = []
        #: Workers that ran each request, in order.
        self.runs = {}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = shlex.split(deploy['roles']['entry']['run'])

    def now(self):
        """Return the seconds since the case began, on the steady clock."""
        return time.monotonic() - self._start

    def record(self, text):
        self._lines.append(f'{self.now():9.4f} {text}')

    def ran(self, ident, worker):
        self.runs.setdefault(ident, []).append(worker)
        self.record(f'{worker} runs {ident}')

    async def start(self, daemons, zones=('a', 'b', 'c')):
        """Start the store and daemons; workers are added before."""
        # Each machine has an address of its own, as all use the same ports.
        net = f'127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
        ips = [f'{net}.{11 + number}' for number in range(daemons)]
        self.ports = _free_ports(ips)
        await self.store.start('127.0.0.1')
        for worker in self.workers:
            await worker.start('127.0.0.1')
        self.store.put_json('op/config', configuration())
        for number, ip in enumerate(ips):
            zone = zones[number % len(zones)]
            self.daemons.append(Daemon(self, f'edge-{zone}-{number + 1}', ip, zone))
        for daemon in self.daemons:
            await daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, seconds=20):
        ends = self.now() + seconds
        for daemon in daemons:
            while not await daemon.is_ready():
                if self.now() > ends:
                    raise RuntimeError(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)

    def settings(self, daemon):
        address = {name: f'{daemon.ip}:{port}' for name, port in self.ports.items()}
        return {
            'nodeName': daemon.name, 'role': 'entry', 'machineClass': 'edge',
            'serves': ['edge', 'control', 'registry'], 'ip': daemon.ip,
            'zone': daemon.zone, 'region': 'eu', 'zones': {z: 'eu' for z in 'abc'},
            'listen': {name: address[name] for name in
                       ('frontend', 'readiness', 'controlPlane', 'registry')},
            'portRange': [self.ports['peers'], self.ports['peers'] + 15],
            'seedNodes': [f'{d.ip}:{self.ports["controlPlane"]}' for d in self.daemons[:3]],
            'bootstrap': daemon.starts == 1, 'faultCounted': False,
            'limits': {'cpuQuota': 0.537, 'cpuCores': 2, 'memoryMb': 300,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'registry',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine',
                          'stream', 'tenants', 'rollout', 'platform'],
            'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {'address': self.store.address, 'form': 'kv', 'writesPerS': 400,
                         'readsPerS': 2000, 'historyS': 20, 'maxValueBytes': 1048576,
                         'ttlMinMs': 1000},
        }

    async def get(self, ip, port, target, seconds):
        """Send one GET on a new connection; return status, headers, body."""
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(httpio.head(f'GET {target} HTTP/1.1', {'Host': ip}))
                first, headers = await httpio.read_head(reader)
                body = await httpio.read_body(reader, headers)
                return int(first.split(' ')[1]), headers, body
            finally:
                writer.close()

    async def stop(self):
        """End all processes that the case started, and write the record."""
        running = [
            daemon.process for daemon in self.daemons
            if daemon.process is not None and daemon.process.returncode is None
        ]
        for process in running:
            process.kill()
        for process in running:
            await process.wait()
        for worker in self.workers:
            worker.exit()
        await self.store.stop()
        # The ends of all connections are handled.
        await asyncio.sleep(0.1)
        (self.case / 'record.txt').write_text('\n'.join(self._lines) + '\n')
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in Path(self.folder).glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


class Client:
    """One connection of a client to a daemon."""

    def __init__(self, fleet, daemon):
        self.fleet = fleet
        self.daemon = daemon
        self.reader = self.writer = None

    async def open(self, seconds=1):
        async with asyncio.timeout(seconds):
            self.reader, self.writer = await asyncio.open_connection(*self.daemon.frontend)

    async def send(self, ident, method, path, deadline_ms, headers=None, body=b''):
        """Send one request on the connection."""
        self.fleet.record(f'client sends {ident} to {self.daemon.name}: {method} {path}')
        fields = {
            'Host': HOST, 'X-Attempt-Id': ident, 'X-Deadline-Ms': deadline_ms,
            'Authorization': f'Bearer {KEY}', **(headers or {}),
        }
        if method != 'GET':
            fields['Content-Length'] = len(body)
        self.writer.write(httpio.head(f'{method} {path} HTTP/1.1', fields) + body)
        await self.writer.drain()

    async def receive(self, ident):
        """Return (status, headers, body), or a text saying how it ended."""
        try:
            first, headers = await httpio.read_head(self.reader)
        except (OSError, EOFError) as error:
            return self._end(ident, f'closed without an answer ({type(error).__name__})')
        status = int(first.split(' ')[1])
        try:
            body = await httpio.read_body(self.reader, headers, until_close=True)
        except (OSError, EOFError, ValueError) as error:
            return self._end(ident, f'closed within the answer ({type(error).__name__})')
        self.fleet.record(f'client has {status} for {ident}')
        return status, headers, body

    def _end(self, ident, text):
        self.fleet.record(f'client: {ident} {text}')
        return text

    def close(self):
        if self.writer is not None:
            self.writer.close()


def _free_ports(ips):
    """Return ports that are free on all addresses, by the name of their use."""
    names = ('frontend', 'readiness', 'controlPlane', 'registry', 'peers')
    ports = {}
    candidate = 20000 + os.getpid() % 20000
    while len(ports) < len(names):
        candidate += 20
        if all(_is_free(ip, candidate) for ip in ips):
            ports[names[len(ports)]] = candidate
    return ports


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def run(main):
    """Run a case and exit: 1 rule broken, 0 it held, 2 could not run."""
    try:
        status = asyncio.run(_run(main))
    except (Exception, asyncio.CancelledError) as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
    sys.exit(status)


async def _run(main):
    """Run a case, but not for longer than it may; its processes then end too."""
    case = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, case.cancel)
    async with asyncio.timeout(LONGEST_S):
        return await main()
