"""Tables of a soak: ends by kind and second, exits, cuts and log lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from .observations import Answer, Observations, RequestKind, Sent
from .verdict import Breach, End, classify, stop_of

__all__ = ['read_log_events', 'render']

_COLUMNS = tuple(End)
_BEFORE = 'open'
_CALM = 'calm'


def render(
    seen: Observations, breaches: tuple[Breach, ...], folder: Path
) -> Iterator[str]:
    """Yield the lines of the report."""
    yield from _render_ends(seen)
    yield from _render_accounts(seen)
    yield from _render_exits(seen)
    yield from _render_phases(folder)
    for breach in breaches:
        yield f'BROKEN {breach.rule} {breach.request_id} {breach.text}'
        yield from _render_request(seen, breach.request_id, folder)
    yield f'{len(breaches)} rules broken'


def read_log_events(
    folder: Path, names: Iterable[str]
) -> Iterator[dict[str, Any]]:
    """Yield the fields of each log line of the named events."""
    wanted = frozenset(names)
    for path in sorted(folder.glob('*.log')):
        for line in path.read_bytes().splitlines():
            fields = _decode(line)
            if fields.get('event') in wanted:
                yield fields


def _decode(line: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}


def _render_ends(seen: Observations) -> Iterator[str]:
    counts: Counter[tuple[str, str, End]] = Counter()
    for sent, answer in seen.answers_by_request.items():
        row = (sent.kind.value, _second(seen, sent, answer))
        counts[(*row, classify(seen, sent, answer))] += 1
    yield ' | '.join(('kind', 'sent', *(end.value for end in _COLUMNS)))
    for kind in RequestKind:
        seconds = {second for name, second, _ in counts if name == kind.value}
        for second in sorted(seconds):
            numbers = (
                str(counts[(kind.value, second, end)]) for end in _COLUMNS
            )
            yield ' | '.join((kind.value, second, *numbers))


def _second(seen: Observations, sent: Sent, answer: Answer) -> str:
    """Return the second after the signal in which a request was sent."""
    stop = stop_of(seen, sent, answer)
    if stop is None:
        return _CALM
    if sent.sent_at_s < stop.signal_at_s:
        return _BEFORE
    return f'{int(sent.sent_at_s - stop.signal_at_s)} s'


def _render_accounts(seen: Observations) -> Iterator[str]:
    counts: Counter[tuple[str, str]] = Counter()
    whole: Counter[tuple[str, str]] = Counter()
    handovers = 0
    for sent, answer in seen.answers_by_request.items():
        row = (sent.route, sent.account)
        counts[row] += 1
        whole[row] += answer.is_whole
        runs = seen.runs_by_id.get(sent.request_id, ())
        is_stream = sent.kind is RequestKind.STREAM
        handovers += is_stream and len({run.server for run in runs}) > 1
    for row in sorted(counts):
        yield f'{" ".join(row)}: {whole[row]} of {counts[row]} served'
    yield f'{handovers} streams ran on several servers'


def _render_exits(seen: Observations) -> Iterator[str]:
    for stop in seen.stops:
        after_s = stop.exit_at_s - stop.signal_at_s
        end = 'killed' if stop.was_killed else 'ended'
        start = '' if stop.was_ready else ', was starting'
        yield (
            f'exit host-{stop.host} {after_s:.3f} s {end}{start}, '
            f'waited for a processor for {stop.held_up_s:.2f} s'
        )


def _render_phases(folder: Path) -> Iterator[str]:
    phases = Counter(
        str(fields.get('phase'))
        for fields in read_log_events(folder, ('stream_cut',))
    )
    yield f'stream_cut by phase: {dict(phases)}'


def _render_request(
    seen: Observations, request_id: str, folder: Path
) -> Iterator[str]:
    for sent, answer in seen.answers_by_request.items():
        if sent.request_id == request_id:
            yield f'  {sent} {answer}'
            yield f'  {stop_of(seen, sent, answer)}'
            yield f'  {seen.runs_by_id.get(request_id)}'
    for path in sorted(folder.glob('*.log')):
        for line in path.read_text(errors='replace').splitlines():
            if request_id and request_id in line:
                yield f'  {path.stem} {line}'
