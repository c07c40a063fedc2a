"""Stand-in for the platform's metadata store, as PROTOCOL describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import httpio

ANSWER_S = 0.004
PAGE = 500


class Store:
    """
    Key-value store with one revision counter, leases, watches and txns.

    It is linearizable: it runs in one event loop and answers from memory.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        #: Waiting watches: task by the IP address and port of the caller.
        self.watches = {}
        self.connections = set()
        self.server = None
        self.answer_s = ANSWER_S
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self):
        self._expiry.cancel()
        self.server.close()
        for writer in tuple(self.connections):
            writer.transport.abort()

    def write(self, key, value, lease=0):
        """Write a key as the operator or a worker does; return the revision."""
        self.revision += 1
        if value is None:
            if self.items.pop(key, None) is None:
                return self.revision
            event = {'key': key, 'revision': self.revision, 'compacted': True}
        else:
            old = self.items.get(key)
            event = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'createdRevision': old['createdRevision'] if old else self.revision,
                'leaseId': lease,
            }
            self.items[key] = event
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put_json(self, key, document):
        return self.write(key, json.dumps(document).encode())

    def get_json(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['value'])) if item else None

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ttl, ends) in tuple(self.leases.items()):
                if now > ends:
                    self._end_lease(lease)
            # 20 s of history.
            while self.history and self.history[0][0] < now - 20:
                self.history.pop(0)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['leaseId'] == lease:
                self.write(key, None)

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info('peername')
        self.connections.add(writer)
        try:
            while True:
                first, headers = await httpio.read_head(reader)
                body = await httpio.read_body(reader, headers)
                method, target, _ = first.split(' ')
                url = urlsplit(target)
                query = {k: v[-1] for k, v in parse_qs(url.query).items()}
                await asyncio.sleep(self.answer_s)
                call = asyncio.create_task(
                    self._call(method, url.path, query, body)
                )
                if url.path == '/v1/kv-watch':
                    self.watches[peer] = call
                try:
                    status, document = await call
                except asyncio.CancelledError:
                    # A watch that is waiting may be cut: the connection ends.
                    return
                finally:
                    self.watches.pop(peer, None)
                payload = json.dumps(document).encode()
                writer.write(
                    httpio.head(
                        f'HTTP/1.1 {status} X',
                        {
                            'Content-Type': 'application/json',
                            'Content-Length': len(payload),
                        },
                    )
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            await httpio.close(writer)

    async def _call(self, method, path, query, body):
        if path == '/v1/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'atRevision': self.revision}
            return 200, {**item, 'atRevision': self.revision}
        if path == '/v1/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            )
            return 200, {
                'entries': [self.items[key] for key in keys[:PAGE]],
                'hasMore': len(keys) > PAGE,
                'atRevision': self.revision,
            }
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-txn':
            return self._transact(json.loads(body))
        if path == '/v1/kv-lease':
            ttl = json.loads(body)['ttlMs']
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {'leaseId': lease, 'ttlMs': ttl}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/v1/kv-lease-end/'):
            self._end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {'ttlMs': int(ttl * 1000)}

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query.get('prefix', '')
        ends = time.monotonic() + min(int(query['waitMs']), 30000) / 1000
        oldest = self.history[0][1]['revision'] if self.history else self.revision
        if after > self.revision or after < oldest - 1:
            return 410, {}
        while True:
            events = [
                event
                for _, event in self.history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'atRevision': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        expected = body.get('expectedRevision', [])
        current = {key: item['revision'] for key, item in self.items.items()}
        if any(current.get(row['key'], 0) != row['revision'] for row in expected):
            rows = [self.items[r['key']] for r in expected if r['key'] in self.items]
            return 412, {'entries': rows}
        writes = body.get('write', [])
        if any(w.get('leaseId', 0) and w['leaseId'] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            if write['key'].startswith(('op/', 'servers/')):
                return 403, {}
        for write in writes:
            self.write(
                write['key'], base64.b64decode(write['value']), write.get('leaseId', 0)
            )
        for key in body.get('remove', []):
            self.write(key, None)
        return 200, {'revision': self.revision}
