"""Reconstruction of a request's path through the hosts from their logs."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Mapping
from typing import Any

import orjson

__all__ = ['LogLine', 'TraceStep', 'parse_line', 'trace_request']

_WINDOW_BEFORE_S = 2.0
_WINDOW_AFTER_S = 0.5
#: Events that do not end a request.
_UNFINISHED_EVENTS = frozenset(
    ('attempt_sent', 'attempt_lost', 'waiting', 'dispatched')
)
#: Text that a host logs when it has started.
_START_TEXT = ' serves on '
_OMITTED_FIELDS = frozenset(
    ('time_s', 'level', 'part', 'event', 'text', 'request')
)


@dataclasses.dataclass(frozen=True)
class LogLine:
    """
    One line of a host's log.

    :param source: host or file that the line comes from.
    :param fields: fields of the line's JSON object.
    """

    source: str
    fields: Mapping[str, Any]

    @property
    def time_s(self) -> float:
        """Time of the line in seconds since the Unix epoch, 0 if missing."""
        return float(self.fields.get('time_s', 0))

    @property
    def server(self) -> str:
        """Name of the backend server in the line, empty if it has none."""
        return str(self.fields.get('server', ''))


@dataclasses.dataclass(frozen=True)
class TraceStep:
    """
    One step on a request's path.

    :param at_s: seconds since the first line of the request; negative for
        earlier lines about a server.
    :param host: host or file that the line comes from.
    :param about: ``request`` for lines of the request; ``server`` for other
        lines about a server to which the request was sent, except successes
        and sent attempts; ``host`` for the next start of a host on which the
        request did not end.
    :param event: event of the line, or its text if it has no event.
    :param details: remaining fields of the line.
    """

    at_s: float
    host: str
    about: str
    event: str
    details: str


def parse_line(source: str, text: str) -> LogLine | None:
    """
    Parse a line of a log.

    The last word before the JSON object is taken as the name of the host.

    :param source: name to use if there is no text before the object.
    :param text: the line.
    :returns: the line, none if it contains no JSON object.
    """
    start = text.find('{"')
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
    except orjson.JSONDecodeError:
        return None
    prefix = text[:start].split()
    return LogLine(prefix[-1] if prefix else source, fields)


def trace_request(request: str, lines: Iterable[LogLine]) -> list[TraceStep]:
    """
    Return the steps of a request on all hosts, ordered by time.

    Other lines about the request's servers, except successes and sent
    attempts, are included from 2 s before the first line of the request to
    0.5 s after its last one.

    :param request: identifier of the request.
    :param lines: lines of all hosts, in any order.
    :returns: the steps, empty if no line belongs to the request.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    request_lines = [
        line for line in ordered if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    first_s = request_lines[0].time_s
    steps = [
        _make_step(line, first_s, about)
        for line in ordered
        if (about := _classify(line, request_lines))
    ]
    starts = _next_start(ordered, request_lines[-1])
    return [*steps, *(_make_step(start, first_s, 'host') for start in starts)]


def _classify(line: LogLine, request_lines: list[LogLine]) -> str:
    """Return the value of ``about`` for a line, empty if it is left out."""
    if line.fields.get('request') == request_lines[0].fields['request']:
        return 'request'
    servers = {each.server for each in request_lines} - {''}
    from_s = request_lines[0].time_s - _WINDOW_BEFORE_S
    is_in_window = (
        from_s <= line.time_s <= request_lines[-1].time_s + _WINDOW_AFTER_S
    )
    return 'server' if is_in_window and _concerns_servers(line, servers) else ''


def _next_start(ordered: Iterable[LogLine], last: LogLine) -> Iterable[LogLine]:
    """
    Return the next start of the host that logged the request's last line.

    Nothing is returned if that line ends the request.  Otherwise a restart of
    the host may have cut the request off.
    """
    if last.fields.get('event') not in _UNFINISHED_EVENTS:
        return ()
    starts = (
        line
        for line in ordered
        if line.source == last.source
        and line.time_s > last.time_s
        and _START_TEXT in str(line.fields.get('text', ''))
    )
    return itertools.islice(starts, 1)


def _concerns_servers(line: LogLine, servers: set[str]) -> bool:
    if line.server in servers:
        is_success = line.fields.get('status') == 200
        return not is_success and line.fields.get('event') != 'attempt_sent'
    text = str(line.fields.get('text', ''))
    return any(server in text for server in servers)


def _make_step(line: LogLine, first_s: float, about: str) -> TraceStep:
    fields = line.fields
    details = ', '.join(
        f'{name} {value}'
        for name, value in fields.items()
        if name not in _OMITTED_FIELDS
    )
    return TraceStep(
        at_s=round(line.time_s - first_s, 3),
        host=line.source,
        about=about,
        event=str(fields.get('event') or fields.get('text', '')),
        details=details,
    )
