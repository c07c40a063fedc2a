"""
Measure the interruption of streams when an engine or a daemon fails.

``python -m benchmarks.losses --losses 200`` fails engines by closing their
connections and by pausing them, and kills daemons.  As a baseline, the caller
repeats the request from the start.  Everything runs in one process on
loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import time

from bronzesill.daemon.tests.caller import ReceivedAnswer, stream
from bronzesill.standins import expected_tokens
from bronzesill.standins.fleet import Fleet, FleetPlan

from .report import percentiles_of, print_table

_PACE_S = 0.02
_TOKENS = 60
_CONCURRENT_STREAMS = 30
_COLUMNS = (
    'loss',
    'streams lost',
    'answers',
    'incorrect',
    'p50 s',
    'p95 s',
    'p99 s',
    'max s',
    'extra tokens %',
)
_ENGINE_PAUSE_S = 4.0
_DETECTION_S = 4.0
_PLAN = FleetPlan(
    daemons=3,
    engines=6,
    pace_s=_PACE_S,
    capacity=64,
    preferences={'resume_latency_weight': 1.0},
    limits={'address_ttl_s': 0.1},
)


@dataclasses.dataclass
class LossResults:
    """
    Results of one kind of failure.

    :param gaps_s: interruption in seconds of each affected stream.
    :param answers: number of completed answers.
    :param incorrect_answers: answers that differ from the expected tokens.
    :param delivered_tokens: tokens that callers received.
    :param computed_tokens: tokens that all engines computed.
    """

    gaps_s: list[float] = dataclasses.field(default_factory=list)
    answers: int = 0
    incorrect_answers: int = 0
    delivered_tokens: int = 0
    computed_tokens: int = 0


def _body(number: int) -> dict[str, object]:
    return {
        'model': 'guide',
        'prompt': f'catalogue {number}',
        'seed': number,
        'max_tokens': _TOKENS,
    }


def _record_answer(
    results: LossResults, number: int, tokens: list[str]
) -> None:
    results.answers += 1
    results.delivered_tokens += len(tokens)
    expected = expected_tokens('v1', number, f'catalogue {number}', _TOKENS)
    results.incorrect_answers += tuple(tokens) != expected


async def _wait_for_tokens(received: list[ReceivedAnswer], count: int) -> None:
    while any(len(each.tokens) < count for each in received):
        await asyncio.sleep(0.005)


async def measure_engine_losses(losses: int, kind: str) -> LossResults:
    """
    Fail engines until enough streams were interrupted.

    :param losses: smallest number of interrupted streams.
    :param kind: ``'broken'`` closes the engine's connections, any other value
        pauses the engine.
    """
    results = LossResults()
    number = 0
    async with Fleet(_PLAN) as fleet:
        while len(results.gaps_s) < losses:
            received = [ReceivedAnswer() for _ in range(_CONCURRENT_STREAMS)]
            numbers = range(number, number + _CONCURRENT_STREAMS)
            number += _CONCURRENT_STREAMS
            streams = [
                asyncio.create_task(
                    stream(
                        fleet.daemons[each % 3].address,
                        _body(each),
                        received=received[index],
                    )
                )
                for index, each in enumerate(numbers)
            ]
            await _wait_for_tokens(received, 20)
            victim = fleet.busiest_engine()
            engine = fleet.engines_by_name[victim]
            lost_generation_ids = {
                stream_id.rpartition('.')[0]
                for stream_id in engine.batch.streams_by_id
            }
            lost_at_s = time.monotonic()
            if kind == 'broken':
                await fleet.kill_engine(victim)
            else:
                now_s = asyncio.get_running_loop().time()
                engine.profile.paused_until_s = now_s + _ENGINE_PAUSE_S
            await asyncio.gather(*streams)
            for each, answer in zip(numbers, received, strict=True):
                _record_answer(results, each, answer.tokens)
                if answer.last_event_id.split(':')[0] in lost_generation_ids:
                    results.gaps_s.append(answer.longest_gap_s)
            if kind == 'broken':
                await fleet.restart_engine(victim)
                await asyncio.sleep(0.3)
            else:
                remaining_s = _ENGINE_PAUSE_S - (time.monotonic() - lost_at_s)
                await asyncio.sleep(max(remaining_s, 0) + 0.5)
        results.computed_tokens = fleet.tokens_computed
    return results


async def measure_daemon_losses(losses: int) -> LossResults:
    """
    Kill daemons; callers resume their streams at another daemon.

    :param losses: smallest number of interrupted streams.
    """
    results = LossResults()
    number = 0
    async with Fleet(_PLAN) as fleet:
        while len(results.gaps_s) < losses:
            victim = fleet.daemons[0]
            numbers = list(range(number, number + _CONCURRENT_STREAMS))
            number += _CONCURRENT_STREAMS
            received = [ReceivedAnswer() for _ in numbers]
            streams = [
                asyncio.create_task(
                    stream(
                        victim.address,
                        _body(each),
                        request_id=f'guide-{each}',
                        received=answer,
                    )
                )
                for each, answer in zip(numbers, received, strict=True)
            ]
            await _wait_for_tokens(received, 20)
            await fleet.kill_daemon(victim)
            await asyncio.gather(*streams)
            resumed = await asyncio.gather(
                *(
                    _resume(fleet, each, answer)
                    for each, answer in zip(numbers, received, strict=True)
                )
            )
            results.gaps_s.extend(gap_s for gap_s, _ in resumed)
            for each, answer, (_, resumed_tokens) in zip(
                numbers, received, resumed, strict=True
            ):
                _record_answer(results, each, answer.tokens + resumed_tokens)
            await fleet.add_daemon(number + 100)
            await fleet.wait_until_ready()
            # Wait until this failure is detected before causing the next.
            await asyncio.sleep(_DETECTION_S)
        results.computed_tokens = fleet.tokens_computed
    return results


async def _resume(
    fleet: Fleet, number: int, original: ReceivedAnswer
) -> tuple[float, list[str]]:
    started_s = asyncio.get_running_loop().time()
    resumed = await stream(
        fleet.daemons[number % len(fleet.daemons)].address,
        _body(number),
        request_id=f'guide-{number}',
        last_event_id=original.last_event_id,
    )
    return resumed.arrivals_s[0] - started_s, resumed.tokens


async def measure_restart_baseline(losses: int) -> LossResults:
    """
    Measure a baseline in which callers repeat the request from the start.

    :param losses: number of streams to interrupt.
    """
    results = LossResults()
    async with Fleet(_PLAN) as fleet:
        for number in range(losses):
            address = fleet.daemons[number % 3].address
            original = ReceivedAnswer()
            task = asyncio.create_task(
                stream(address, _body(number), received=original)
            )
            await _wait_for_tokens([original], 20)
            received_count = len(original.tokens)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            started_s = asyncio.get_running_loop().time()
            repeated = await stream(address, _body(number))
            results.gaps_s.append(
                repeated.arrivals_s[received_count] - started_s
            )
            _record_answer(results, number, repeated.tokens)
        results.computed_tokens = fleet.tokens_computed
    return results


def _row(name: str, results: LossResults) -> tuple[object, ...]:
    gaps = percentiles_of(results.gaps_s)
    extra_percent = (
        100
        * (results.computed_tokens - results.delivered_tokens)
        / results.delivered_tokens
    )
    return (
        name,
        len(results.gaps_s),
        results.answers,
        results.incorrect_answers,
        gaps.p50,
        gaps.p95,
        gaps.p99,
        gaps.largest,
        extra_percent,
    )


async def _measure(losses: int) -> None:
    kinds = (
        ('broken connection', measure_engine_losses(losses, 'broken')),
        ('silence', measure_engine_losses(losses, 'silence')),
        ('daemon death', measure_daemon_losses(losses)),
        ('start again', measure_restart_baseline(max(losses // 8, 3))),
    )
    for name, measurement in kinds:
        print_table(_COLUMNS, [_row(name, await measurement)])


def main() -> None:
    """Measure each kind of failure and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--losses', type=int, default=200)
    options = parser.parse_args()
    asyncio.run(_measure(options.losses))


if __name__ == '__main__':
    main()
