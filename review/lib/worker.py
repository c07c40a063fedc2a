"""Stand-in for a worker of a plain service or a model worker."""

import asyncio
import time

import httpio


class Worker:
    """
    Worker that registers itself, rejects when full and runs requests.

    :param fleet: the deployment, for the store, the clock and the record.
    :param name: its id.
    :param service: name of its service.
    :param zone: its zone.
    :param slots: requests that it runs at once.
    :param queue: requests that wait for a slot at most.
    """

    def __init__(self, fleet, name, service, zone, *, slots=6, queue=24):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.queue = queue
        self.slots = slots
        self.slot = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.state = 'ready'
        #: (time, request id) of each request that arrived.
        self.arrivals = []
        #: Seconds of work on a request, from its headers.
        self.work_s = lambda headers: 0.0225
        #: Answers a request instead of the usual answer; may be None.
        self.answer = None
        self.connections = set()
        self.has_exited = False

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self.born = int(time.time() * 1000)
        self.beat = asyncio.create_task(self._beat())

    def register(self):
        self.sequence += 1
        self.beat_s = self.fleet.now()
        return self.fleet.store.put_json(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'coldRemainingMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    def remove_entry(self):
        """Leave without reporting `draining`: the entry is removed."""
        self.beat.cancel()
        self.fleet.store.write(f'servers/{self.name}', None)

    def exit(self):
        """End the process: all its connections end."""
        self.has_exited = True
        self.beat.cancel()
        self.server.close()
        for writer in tuple(self.connections):
            writer.transport.abort()

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def load(self):
        return f'{self.running},{self.waiting},{self.slots}'

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await httpio.read_head(reader)
                arrived = self.fleet.now()
                body = await httpio.read_body(reader, headers)
                method, target, _ = first.split(' ')
                if target == '/healthz':
                    writer.write(self._plain(200, {'X-Instance-Id': self.name}, b'ok'))
                    continue
                ident = headers.get('x-attempt-id', '')
                wanted = headers.get('x-target-instance', self.name)
                if wanted != self.name:
                    writer.write(self._plain(421, {'X-Not-Executed': '1', 'X-Attempt-Id': ident}, b''))
                    continue
                self.arrivals.append((arrived, ident))
                self.fleet.record(f'{self.name} got {ident}')
                if self.running >= self.slots and self.waiting >= self.queue:
                    writer.write(self._plain(503, {'X-Not-Executed': '1', 'X-Attempt-Id': ident}, b''))
                    continue
                self.waiting += 1
                try:
                    await self.slot.acquire()
                finally:
                    self.waiting -= 1
                self.running += 1
                self.fleet.ran(ident, self.name)
                try:
                    if self.answer is not None:
                        await self.answer(self, writer, ident, headers, body)
                    else:
                        await asyncio.sleep(self.work_s(headers))
                        writer.write(self._plain(200, self.signed(ident), ident.encode() * 4))
                        self.fleet.record(f'{self.name} answered {ident}')
                    await writer.drain()
                finally:
                    self.running -= 1
                    self.slot.release()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            await httpio.close(writer)

    def signed(self, ident):
        return {
            'X-Attempt-Id': ident,
            'X-Server-Signature': f'{self.name}.{ident}',
            'X-Instance-Id': self.name,
            'X-Instance-Load': self.load(),
        }

    def _plain(self, status, headers, body):
        return httpio.head(
            f'HTTP/1.1 {status} X',
            {**headers, 'Keep-Alive': 'timeout=30', 'Content-Length': len(body)},
        ) + body
