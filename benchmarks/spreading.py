"""
Measure gossip dissemination and failure detection.

Runs membership controllers on real datagram sockets in one process, and
measures how long facts take to reach all daemons, how long the failure of a
daemon takes to be detected, and which pauses cause false alarms:
``python -m benchmarks.spreading --sizes 8 72 360``.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import time
from random import Random

from bronzesill.daemon.protocol import make_native_registry
from bronzesill.membership import (
    Fact,
    FactKind,
    GossipPolicy,
    GossipUpdates,
    Member,
    MembershipController,
    MembershipQueue,
    ViewFetched,
    ViewUpdated,
)
from bronzesill.standins.fleet import free_address
from bronzesill.utils import Address
from bronzesill.wire import DatagramSocket, PeerClient, WireCounters

from .report import Percentiles, percentiles_of, print_table

_DOMAINS = 6
_FACTS = 12
_FACT_INTERVAL_S = 3.0
_FACT_WAIT_S = 8.0
_SETTLE_S = 4.0
_DETECTION_WAIT_S = 16.0
_PAUSES_S = (1, 2, 3, 5)


class Node:
    """One membership controller with its datagram socket."""

    def __init__(self, number: int, random: Random) -> None:
        registry = make_native_registry()
        self.counters = WireCounters()
        mailbox: MembershipQueue = asyncio.Queue()
        self.socket = DatagramSocket(registry, self.counters, mailbox)
        address = free_address()
        self.own = Member(
            name=f'entry-{number}',
            region=f'region-{number % 3}',
            failure_domain=f'domain-{number % _DOMAINS}',
            peers=address,
            callers=Address(address.ip, 1),
            incarnation=int(time.time() * 1000),
        )
        self.mailbox = mailbox
        self.controller = MembershipController(
            self.own,
            self.socket,
            mailbox,
            PeerClient(registry, self.counters),
            random,
            GossipPolicy(),
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket and run the controller."""
        await self.socket.open(self.own.peers)
        self.resume()

    def resume(self) -> None:
        """Run the controller, for the first time or after a pause."""
        self.task = asyncio.create_task(self.controller.run())

    async def pause(self) -> None:
        """Cancel the controller's task, which simulates a paused process."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def stop(self) -> None:
        """Cancel the controller's task and close the socket."""
        await self.pause()
        self.socket.close()


@dataclasses.dataclass(frozen=True)
class DetectionTimes:
    """
    Times from the failure of daemons to its detection by the others.

    :param suspected: seconds until a daemon was suspected, so that its
        address was no longer given to callers.
    :param gone: seconds until a daemon was considered failed.
    """

    suspected: Percentiles
    gone: Percentiles


async def start_nodes(count: int, loss: float, seed: int) -> list[Node]:
    """
    Start controllers whose views hold all members from the beginning.

    :param loss: probability that a datagram is dropped.
    """
    random = Random(seed)
    nodes = [
        Node(number, Random(seed * 1000 + number)) for number in range(count)
    ]
    all_members = GossipUpdates(tuple(node.own for node in nodes))
    for node in nodes:
        node.mailbox.put_nowait(ViewFetched(all_members))
        node.socket.send_filter = lambda _: random.random() >= loss
        await node.start()
    await asyncio.sleep(_SETTLE_S)
    return nodes


async def measure_dissemination(
    nodes: list[Node], seed: int
) -> tuple[Percentiles, int]:
    """
    Publish facts at random daemons.

    :returns: delays in seconds until the daemons received the facts, and the
        number of deliveries that were missing at the end.
    """
    random = Random(seed)
    loop = asyncio.get_running_loop()
    published_at_s: dict[str, float] = {}
    delays: list[float] = []

    def record_delays(change: ViewUpdated) -> None:
        for fact in change.updates.facts:
            delays.append(loop.time() - published_at_s[fact.key])

    for node in nodes:
        node.controller.listeners.append(record_delays)
    for number in range(_FACTS):
        key = f'version-{number}'
        published_at_s[key] = loop.time()
        fact = Fact(FactKind.VERSION_TAKEN_BACK, key, 1)
        random.choice(nodes).controller.publish_fact(fact)
        await asyncio.sleep(_FACT_INTERVAL_S)
    await asyncio.sleep(_FACT_WAIT_S)
    for node in nodes:
        node.controller.listeners.remove(record_delays)
    return percentiles_of(delays), _FACTS * len(nodes) - len(delays)


async def measure_idle_bytes_per_s(nodes: list[Node], seconds: float) -> float:
    """Return bytes sent and received per second and daemon when idle."""
    before = sum(
        node.counters.bytes_in + node.counters.bytes_out for node in nodes
    )
    await asyncio.sleep(seconds)
    after = sum(
        node.counters.bytes_in + node.counters.bytes_out for node in nodes
    )
    return (after - before) / seconds / len(nodes)


async def measure_detection(
    nodes: list[Node], failure_count: int
) -> DetectionTimes:
    """
    Stop some daemons and poll the views of the others.

    :param failure_count: number of daemons to stop.
    """
    loop = asyncio.get_running_loop()
    stopped, running = nodes[:failure_count], nodes[failure_count:]
    for node in stopped:
        await node.stop()
    stopped_at_s = loop.time()
    suspected: dict[tuple[str, str], float] = {}
    gone: dict[tuple[str, str], float] = {}
    while loop.time() - stopped_at_s < _DETECTION_WAIT_S:
        await asyncio.sleep(0.1)
        for node in running:
            members = node.controller.view.members_by_name
            for failed in stopped:
                pair = (node.own.name, failed.own.name)
                member_state = members[failed.own.name]
                elapsed_s = loop.time() - stopped_at_s
                if not member_state.is_alive:
                    suspected.setdefault(pair, elapsed_s)
                if member_state.is_gone:
                    gone.setdefault(pair, elapsed_s)
    return DetectionTimes(
        percentiles_of(list(suspected.values())),
        percentiles_of(list(gone.values())),
    )


async def count_false_alarms(nodes: list[Node], pause_s: float) -> int:
    """
    Pause some daemons and count those that others considered failed.

    :param pause_s: length of the pause in seconds.
    """
    paused = nodes[:: max(len(nodes) // 8, 1)]
    false_alarms: set[str] = set()
    for node in paused:
        await node.pause()
    await asyncio.sleep(pause_s)
    for node in paused:
        node.resume()
    for _ in range(40):
        await asyncio.sleep(0.1)
        for node in nodes:
            members = node.controller.view.members_by_name
            false_alarms.update(
                each.own.name
                for each in paused
                if members[each.own.name].is_gone
            )
    return len(false_alarms)


async def _measure(size: int, loss: float, seed: int) -> None:
    nodes = await start_nodes(size, loss, seed)
    idle_bytes_per_s = await measure_idle_bytes_per_s(nodes, 5)
    delays, missing = await measure_dissemination(nodes, seed)
    print_table(
        (
            'daemons',
            'loss',
            'bytes/s',
            'p50 s',
            'p99 s',
            'max s',
            'missing',
        ),
        [
            (
                size,
                loss,
                idle_bytes_per_s,
                delays.p50,
                delays.p99,
                delays.largest,
                missing,
            )
        ],
    )
    for pause_s in _PAUSES_S:
        false_alarms = await count_false_alarms(nodes, pause_s)
        print(f'  paused {pause_s} s: considered failed: {false_alarms}')
    detection = await measure_detection(nodes, max(size // 60, 1))
    print(
        f'  failure suspected p50 {detection.suspected.p50:.2f} s, '
        f'p99 {detection.suspected.p99:.2f} s; '
        f'considered failed p50 {detection.gone.p50:.2f} s, '
        f'p99 {detection.gone.p99:.2f} s',
        flush=True,
    )
    for node in nodes:
        await node.stop()


def main() -> None:
    """Measure every combination of size and loss."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=[8, 72, 360])
    parser.add_argument(
        '--losses', type=float, nargs='+', default=[0, 0.05, 0.2]
    )
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for size in options.sizes:
        for loss in options.losses:
            asyncio.run(_measure(size, loss, options.seed))


if __name__ == '__main__':
    main()
