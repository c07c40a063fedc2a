"""
Gap that a caller sees when an engine or a daemon is lost.

``python -m benchmarks.losses --losses 200`` loses engines by broken
connections and by silence, and daemons, with a baseline that starts the
answer again.  Everything runs in one process on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import time

from bronzesill.daemon.tests.caller import Received, stream
from bronzesill.standins import expected_tokens
from bronzesill.standins.fleet import Fleet, FleetPlan

from .report import percentiles_of, print_table

_PACE_S = 0.02
_TOKENS = 60
_AT_ONCE = 30
_HEAD = (
    'loss',
    'streams lost',
    'answers',
    'not whole',
    'p50 s',
    'p95 s',
    'p99 s',
    'max s',
    'extra tokens %',
)
_PAUSE_S = 4.0
_NOTICE_S = 4.0
_PLAN = FleetPlan(
    daemons=3,
    engines=6,
    pace_s=_PACE_S,
    capacity=64,
    preferences={'resume_latency_weight': 1.0},
    limits={'address_ttl_s': 0.1},
)


@dataclasses.dataclass
class Tally:
    """What was measured of one kind of loss."""

    gaps_s: list[float] = dataclasses.field(default_factory=list)
    answers: int = 0
    not_whole: int = 0
    delivered: int = 0
    computed: int = 0


def _body(number: int) -> dict[str, object]:
    return {
        'model': 'guide',
        'prompt': f'catalogue {number}',
        'seed': number,
        'max_tokens': _TOKENS,
    }


def _check(tally: Tally, number: int, tokens: list[str]) -> None:
    tally.answers += 1
    tally.delivered += len(tokens)
    expected = expected_tokens('v1', number, f'catalogue {number}', _TOKENS)
    tally.not_whole += tuple(tokens) != expected


async def _until(received: list[Received], count: int) -> None:
    while any(len(each.tokens) < count for each in received):
        await asyncio.sleep(0.005)


async def lose_engines(losses: int, kind: str) -> Tally:
    """Lose engines until enough streams were lost."""
    tally = Tally()
    number = 0
    async with Fleet(_PLAN) as fleet:
        while len(tally.gaps_s) < losses:
            received = [Received() for _ in range(_AT_ONCE)]
            numbers = range(number, number + _AT_ONCE)
            number += _AT_ONCE
            answers = [
                asyncio.create_task(
                    stream(
                        fleet.daemons[each % 3].address,
                        _body(each),
                        received=received[index],
                    )
                )
                for index, each in enumerate(numbers)
            ]
            await _until(received, 20)
            victim = fleet.busy_engine()
            engine = fleet.engines_by_name[victim]
            lost = {
                stream_id.rpartition('.')[0]
                for stream_id in engine.batch.streams_by_id
            }
            lost_at_s = time.monotonic()
            if kind == 'broken':
                await fleet.kill_engine(victim)
            else:
                now_s = asyncio.get_running_loop().time()
                engine.profile.paused_until_s = now_s + _PAUSE_S
            await asyncio.gather(*answers)
            for each, found in zip(numbers, received, strict=True):
                _check(tally, each, found.tokens)
                if found.last_event_id.split(':')[0] in lost:
                    tally.gaps_s.append(found.longest_gap_s)
            if kind == 'broken':
                await fleet.revive_engine(victim)
                await asyncio.sleep(0.3)
            else:
                left_s = _PAUSE_S - (time.monotonic() - lost_at_s)
                await asyncio.sleep(max(left_s, 0) + 0.5)
        tally.computed = fleet.tokens_computed
    return tally


async def lose_daemons(losses: int) -> Tally:
    """Lose daemons; callers reconnect at another one."""
    tally = Tally()
    number = 0
    async with Fleet(_PLAN) as fleet:
        while len(tally.gaps_s) < losses:
            victim = fleet.daemons[0]
            numbers = list(range(number, number + _AT_ONCE))
            number += _AT_ONCE
            received = [Received() for _ in numbers]
            answers = [
                asyncio.create_task(
                    stream(
                        victim.address,
                        _body(each),
                        request_id=f'guide-{each}',
                        received=found,
                    )
                )
                for each, found in zip(numbers, received, strict=True)
            ]
            await _until(received, 20)
            await fleet.kill_daemon(victim)
            await asyncio.gather(*answers)
            rest = await asyncio.gather(
                *(
                    _reconnect(fleet, each, found)
                    for each, found in zip(numbers, received, strict=True)
                )
            )
            tally.gaps_s.extend(gap_s for gap_s, _ in rest)
            for each, found, (_, after) in zip(
                numbers, received, rest, strict=True
            ):
                _check(tally, each, found.tokens + after)
            await fleet.add_daemon(number + 100)
            await fleet.wait_until_ready()
            # The next death comes once this one has been noticed.
            await asyncio.sleep(_NOTICE_S)
        tally.computed = fleet.tokens_computed
    return tally


async def _reconnect(
    fleet: Fleet, number: int, first: Received
) -> tuple[float, list[str]]:
    started_s = asyncio.get_running_loop().time()
    rest = await stream(
        fleet.daemons[number % len(fleet.daemons)].address,
        _body(number),
        request_id=f'guide-{number}',
        last_event_id=first.last_event_id,
    )
    return rest.arrivals_s[0] - started_s, rest.tokens


async def start_again(losses: int) -> Tally:
    """Baseline: after a loss the caller asks again from the start."""
    tally = Tally()
    async with Fleet(_PLAN) as fleet:
        for number in range(losses):
            address = fleet.daemons[number % 3].address
            first = Received()
            task = asyncio.create_task(
                stream(address, _body(number), received=first)
            )
            await _until([first], 20)
            had = len(first.tokens)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            started_s = asyncio.get_running_loop().time()
            again = await stream(address, _body(number))
            tally.gaps_s.append(again.arrivals_s[had] - started_s)
            _check(tally, number, again.tokens)
        tally.computed = fleet.tokens_computed
    return tally


def _row(name: str, tally: Tally) -> tuple[object, ...]:
    gaps = percentiles_of(tally.gaps_s)
    extra = 100 * (tally.computed - tally.delivered) / tally.delivered
    return (
        name,
        len(tally.gaps_s),
        tally.answers,
        tally.not_whole,
        gaps.p50,
        gaps.p95,
        gaps.p99,
        gaps.largest,
        extra,
    )


async def _measure(losses: int) -> None:
    kinds = (
        ('broken connection', lose_engines(losses, 'broken')),
        ('silence', lose_engines(losses, 'silence')),
        ('daemon death', lose_daemons(losses)),
        ('start again', start_again(max(losses // 8, 3))),
    )
    for name, measuring in kinds:
        print_table(_HEAD, [_row(name, await measuring)])


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--losses', type=int, default=200)
    options = parser.parse_args()
    asyncio.run(_measure(options.losses))


if __name__ == '__main__':
    main()
