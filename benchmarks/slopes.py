"""
Measure the cost of single messages and records, for docs/CAPACITY.md.

``python -m benchmarks.slopes`` prints the size and processor time of each
kind of control message, the processor time of each decision, and the size of
each kind of record.  All are measured in this process.
"""

from __future__ import annotations

import functools
import hashlib
import time
import tracemalloc
from collections.abc import Callable

import yaml

from bronzesill.calls.ledger import (
    CallClaim,
    CallOutcome,
    ClaimAnswer,
    LedgerIndex,
    LedgerRecord,
    RecordKind,
)
from bronzesill.calls.ledger_messages import ClaimCall
from bronzesill.calls.segments import Segment
from bronzesill.config.overlay import build_document
from bronzesill.daemon.protocol import make_native_registry
from bronzesill.generations import LocationRecord, LocationTable
from bronzesill.generations.location_messages import ClaimLocation
from bronzesill.limits.quota import QuotaRequest, QuotaTable
from bronzesill.membership import FleetView, GossipUpdates, Member, Ping
from bronzesill.moves import MoveProgress, MoveRecord, MoveReport, decide
from bronzesill.moves.reports import EvidenceEntry, evidence_of
from bronzesill.utils import Address

from .report import print_table

_LOOPS = 2000
_DAEMONS = 360
_SAMPLE_COUNT = 5000


def measure_cpu_us(
    operation: Callable[[], object], loops: int = _LOOPS
) -> float:
    """
    Return the mean processor time of a call in microseconds.

    :param operation: function to call.
    :param loops: number of calls.
    """
    started_s = time.process_time()
    for _ in range(loops):
        operation()
    return 1e6 * (time.process_time() - started_s) / loops


def measure_bytes_each(
    make: Callable[[int], object], count: int = _SAMPLE_COUNT
) -> float:
    """
    Return the mean memory of an object in bytes.

    :param make: creates one object from its number.
    :param count: number of objects to create.
    """
    tracemalloc.start()
    objects = [make(number) for number in range(count)]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(objects)


def _member(number: int) -> Member:
    address = Address('10.11.12.13', 7000 + number % 1000)
    return Member(
        f'entry-{number:03d}',
        'region-a',
        'domain-a',
        address,
        address,
        1_796_356_000_000 + number,
    )


def _location_record(number: int) -> LocationRecord:
    return LocationRecord(
        f'account-{number:04d}/request-{number:08d}',
        2**62 + number,
        f'gen-{number:032x}',
        'version-1',
        2**30 + number,
        'engine-123',
        1,
        'entry-123',
    )


def _claim(number: int) -> CallClaim:
    return CallClaim(
        f'account-0007/1796356000-order-{number}',
        f'{number:032x}',
        2**62 + number,
        1_796_356_000.0,
        10.0,
    )


def _ledger_record(number: int, kind: RecordKind) -> LedgerRecord:
    claim = _claim(number)
    outcome = None
    if kind is RecordKind.OUTCOME:
        outcome = CallOutcome(200, 'application/json', b'{"paid": true}' * 8)
    return LedgerRecord(
        kind,
        claim.key,
        claim.claim_id,
        claim.fingerprint,
        1_796_356_000.0,
        10.0,
        outcome,
    )


def _report() -> MoveReport:
    entries = tuple(
        EvidenceEntry(
            'chat',
            f'engine-{number}',
            'v1',
            3,
            0,
            (40, 1, 41, 2),
            (24, 2, 25, 1),
        )
        for number in range(10)
    )
    return MoveReport('guide-v2', 'entry-123', entries)


def _document() -> str:
    return yaml.safe_dump(
        {
            'accounts': {
                f'account-{number}': {
                    'key_sha256': hashlib.sha256(b'%d' % number).hexdigest(),
                    'weight': 1,
                }
                for number in range(2000)
            },
            'models': {f'm{number}': {'version': 'v1'} for number in range(4)},
            'servers': {
                f'engine-{number}': {
                    'address': f'10.0.{number // 250}.{number % 250}:80',
                    'failure_domain': 'domain-a',
                    'version': 'v1',
                    'model': f'm{number % 4}',
                }
                for number in range(600)
            },
        }
    )


def main() -> None:
    """Run all measurements and print their tables."""
    registry = make_native_registry()
    messages: list[tuple[str, object]] = [
        ('ping without updates', Ping('entry-123', 7, 2**31, GossipUpdates())),
        (
            'ping with updates of 12 members',
            Ping(
                'entry-123',
                7,
                2**31,
                GossipUpdates(tuple(map(_member, range(12)))),
            ),
        ),
        ('claim of a location', ClaimLocation(_location_record(1))),
        ('claim of a call', ClaimCall(_claim(1))),
        ('answer to a claim', ClaimAnswer(1)),
        ('request for a quota', QuotaRequest('account-7', 'entry-1', 4, 64)),
        ('report of a move, 10 engines', _report()),
    ]
    rows: list[tuple[object, ...]] = []
    for name, message in messages:
        packed = registry.encode(message)
        rows.append(
            (
                name,
                len(packed),
                measure_cpu_us(functools.partial(registry.encode, message)),
                measure_cpu_us(functools.partial(registry.decode, packed)),
            )
        )
    print_table(('message', 'bytes', 'encode us', 'decode us'), rows)

    view = (
        FleetView()
        .merge(GossipUpdates(tuple(map(_member, range(_DAEMONS)))))
        .view
    )
    index = LedgerIndex(3600)
    table = LocationTable()
    quotas = QuotaTable()
    move = MoveRecord('m', 'guide', 'v1', 'v2', 0, 3600, 'nino', 'why')
    progress = MoveProgress.from_record(move)
    evidence = evidence_of(_report().entries)
    counter = iter(range(10**9))
    rows = [
        (
            'merge one member into a view of 360',
            measure_cpu_us(
                lambda: view.merge(
                    GossipUpdates((_member(10**6 + next(counter)),))
                )
            ),
        ),
        (
            'claim a location in its table',
            measure_cpu_us(
                lambda: table.claim(_location_record(next(counter)), 0)
            ),
        ),
        (
            'evaluate a claim of a call',
            measure_cpu_us(lambda: index.evaluate_claim(_claim(1), 0)),
        ),
        (
            'grant a part of a quota',
            measure_cpu_us(
                lambda: quotas.ask(QuotaRequest('a', 'd', 3, 64), 0)
            ),
        ),
        (
            'one step of a move',
            measure_cpu_us(lambda: decide(move, progress, evidence, 1), 300),
        ),
    ]
    print_table(('decision', 'us'), rows)

    claims = tuple(
        _ledger_record(number, RecordKind.CLAIM) for number in range(100)
    )
    outcomes = tuple(
        _ledger_record(number, RecordKind.OUTCOME) for number in range(100)
    )
    stored = Segment.from_records('s', claims + outcomes)
    rows = [
        ('member in a view', measure_bytes_each(_member)),
        ('location record', measure_bytes_each(_location_record)),
        (
            'ledger record in memory',
            measure_bytes_each(lambda n: _ledger_record(n, RecordKind.OUTCOME)),
        ),
        ('claim and outcome in the store', len(stored.payload) / 100),
        ('token in a journal', measure_bytes_each(lambda n: f' bead{n:03x}')),
    ]
    print_table(('record', 'bytes'), rows)
    text = _document()
    started_s = time.process_time()
    build_document(text, '')
    print(
        f'configuration of the target size: {len(text)} bytes, '
        f'{time.process_time() - started_s:.3f} s to build'
    )


if __name__ == '__main__':
    main()
