"""A worker is cut off for a second and crashes; its address is used again."""

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import fleet as f
import httpio
from worker import Worker

CUT_S = 1.2
REUSE_S = f.BOUNDS['reuseDelayS']
#: The address is used again so long after `reuseDelayS`.
REUSED_LATER_S = 0.05
#: Entries are removed after three heartbeat intervals (1.2 s) of silence.
EXPIRY_S = 3.6
ROUNDS = 5
#: No worker is lost later than this, so that the case ends in time.
LAST_S = 85
#: Seconds between two requests, and seconds of work on one.
RATE_S = 0.006
WORK_S = (0.06, 0.12)
DEADLINE_MS = 1500


class LinkedWorker(Worker):
    """
    Worker whose link may be cut.

    What it sent on a cut link arrives when the link is back, as TCP sends it
    again; that holds also after its process has ended, as its system goes on
    to send what it had been given.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.link = asyncio.Event()
        self.link.set()
        self.answer = self._answer
        self.work_s = lambda headers: random.uniform(*WORK_S)
        #: Requests at work, and those whose answers the cut holds up.
        self.at_work = set()
        self.held = set()

    async def _answer(self, worker, writer, ident, headers, body):
        if not self.link.is_set():
            # Sent into the cut: it has not arrived, and never will, as the
            # process has ended when the link is back.
            self.fleet.runs[ident].pop()
            await self.link.wait()
            writer.transport.abort()
            return
        self.at_work.add(ident)
        await asyncio.sleep(self.work_s(headers))
        if self.has_exited:
            await self.link.wait()
            writer.transport.abort()
            return
        self.at_work.discard(ident)
        self.fleet.record(f'{self.name} answered {ident}')
        if not self.link.is_set():
            self.held.add(ident)
        await self.link.wait()
        writer.write(self._plain(200, self.signed(ident), ident.encode() * 4))
        if self.has_exited:
            self.fleet.record(f'link: the answer to {ident} of {self.name} arrives')
            await httpio.close(writer)

    async def cut_link(self):
        """Cut the link: nothing arrives, and new connections hang."""
        self.link.clear()
        self.beat.cancel()
        self.server.close()
        self._hole = Hole(self.address)
        await self._hole.open()

    def crash(self):
        """End the process; its system sends what it had been given."""
        self.has_exited = True

    def heal_link(self):
        """Restore the link; connections to the process that ended are refused."""
        self._hole.close()
        self.link.set()


class Hole:
    """
    Address at which opening packets get no answer, as behind a cut.

    Its queue of new connections is full, so the system drops them.
    """

    def __init__(self, address):
        ip, _, port = address.rpartition(':')
        self._address = ip, int(port)
        self._sockets = []

    async def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(0)
        self._sockets.append(listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            self._sockets.append(filler)
            try:
                filler.connect(self._address)
            except BlockingIOError:
                pass
            await asyncio.sleep(0.001)

    def close(self):
        for each in self._sockets:
            each.close()


async def traffic(fleet, stop, answers):
    number = 0
    tasks = set()
    while not stop.is_set():
        daemon = fleet.daemons[number % len(fleet.daemons)]
        number += 1
        task = asyncio.create_task(one(fleet, daemon, f'order-{number}', answers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(RATE_S)
    await asyncio.gather(*tasks)


async def one(fleet, daemon, ident, answers):
    client = f.Client(fleet, daemon)
    await client.open()
    await client.send(ident, 'POST', f'/order/{ident}', DEADLINE_MS, body=b'x' * 600)
    answers[ident] = await client.receive(ident)
    client.close()


def document():
    """Return the usual configuration with a second plain service."""
    usual = f.configuration(2)
    order = usual['routes'][0]
    usual['routes'].append({**order, 'name': 'pay', 'prefix': '/pay/', 'service': 'payout'})
    usual['services'].append({'name': 'payout', 'healthPath': '/healthz', 'maxConnections': 100})
    return usual


def daemons_of(idents):
    """Return the numbers of the daemons that requests were sent to."""
    return {int(ident.partition("-")[2]) % 2 for ident in idents}


async def find_busy(fleet):
    """Return a worker at which a daemon has two requests."""
    while True:
        for worker in fleet.workers:
            if worker.service == 'shop' and not worker.has_exited:
                if len(worker.at_work) > len(daemons_of(worker.at_work)):
                    return worker
        await asyncio.sleep(0.001)


async def lose_worker(fleet, number):
    """Cut one worker off, let it crash and give its address to a payout worker."""
    sick = next(w for w in fleet.workers if w.service == 'shop' and not w.has_exited)
    while sick.running < 4:
        await asyncio.sleep(0.001)
    fleet.record(f'link of {sick.name} is cut')
    began_s = fleet.now()
    await sick.cut_link()
    # It crashes when it has answered one request of a daemon and not another.
    while not daemons_of(sick.held) & daemons_of(sick.at_work):
        if fleet.now() > began_s + 0.15:
            break
        await asyncio.sleep(0.001)
    sick.crash()
    crashed_s = fleet.now()
    fleet.record(f'{sick.name} crashes')
    await asyncio.sleep(began_s + CUT_S - fleet.now())
    fleet.record(f'link of {sick.name} is back')
    sick.heal_link()
    await asyncio.sleep(crashed_s + REUSE_S + REUSED_LATER_S - fleet.now())
    ip, _, port = sick.address.rpartition(':')
    payout = Worker(fleet, f'payout-{number + 1}', 'payout', sick.zone)
    fleet.workers.append(payout)
    # It registers in the store as it starts.
    await payout.start(ip, int(port))
    fleet.record(f'{payout.name} of service payout starts at {sick.address}')
    await asyncio.sleep(sick.beat_s + EXPIRY_S - fleet.now())
    fleet.store.write(f'servers/{sick.name}', None)
    fleet.record(f'store: entry of {sick.name} is removed')
    # Another one takes the place of the one that is lost.
    fleet.workers.append(LinkedWorker(fleet, f'shop-{number + 8}', 'shop', sick.zone))
    await fleet.workers[-1].start('127.0.0.1')


async def main():
    fleet = f.Fleet(Path(__file__).parent)
    for number in range(7):
        fleet.workers.append(
            LinkedWorker(fleet, f'shop-{number + 1}', 'shop', 'abc'[number % 3])
        )
    fleet.workers.append(Worker(fleet, 'payout-0', 'payout', 'a'))
    answers = {}
    try:
        await fleet.start(2)
        fleet.store.put_json('op/config', document())
        await asyncio.sleep(5)
        stop = asyncio.Event()
        sending = asyncio.create_task(traffic(fleet, stop, answers))
        for number in range(ROUNDS):
            await asyncio.sleep(4)
            if f.TROUBLE and fleet.now() < LAST_S:
                await lose_worker(fleet, number)
        await asyncio.sleep(1)
        stop.set()
        await sending
        foreign = [
            (ident, worker)
            for ident, workers in fleet.runs.items()
            for worker in workers
            if worker.startswith('payout')
        ]
        for ident, worker in foreign:
            answer = answers.get(ident)
            if not isinstance(answer, str):
                answer = answer[0], answer[1].get('x-server-signature')
            fleet.record(f'FOREIGN: {ident} was run by {worker}; the client has {answer}')
        print(f'{len(answers)} orders; {len(foreign)} were run by a worker of service payout, '
              f'to which no configuration lets them go')
    finally:
        await fleet.stop()
    return 1 if foreign else 0


f.run(main)
