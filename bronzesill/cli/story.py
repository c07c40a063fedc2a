"""One request's way through the hosts, from their log lines."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

import orjson

__all__ = ['LogLine', 'StoryLine', 'parse_line', 'tell_story']

_BEFORE_S = 2.0
_AFTER_S = 0.5
_KNOWN = frozenset(('time_s', 'level', 'part', 'event', 'text', 'request'))


@dataclasses.dataclass(frozen=True)
class LogLine:
    """
    One line of a host's log.

    :param source: host or file that it comes from.
    :param fields: fields of the line.
    """

    source: str
    fields: Mapping[str, Any]

    @property
    def time_s(self) -> float:
        """Seconds since the epoch."""
        return float(self.fields.get('time_s', 0))

    @property
    def server(self) -> str:
        """Backend server that the line is about, empty for none."""
        return str(self.fields.get('server', ''))


@dataclasses.dataclass(frozen=True)
class StoryLine:
    """
    One step of the story.

    :param at_s: seconds since the first step.
    :param host: host or file that tells it.
    :param about: ``request``, or ``server`` for what else was seen of a
        server that the request met.
    :param event: kind of the line.
    :param details: its other fields.
    """

    at_s: float
    host: str
    about: str
    event: str
    details: str


def parse_line(source: str, text: str) -> LogLine | None:
    """
    Parse a line; what stands before the JSON object names the host.

    :param source: name to use if nothing stands before.
    :param text: the line.
    :returns: none if it holds no JSON object.
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


def tell_story(request: str, lines: Iterable[LogLine]) -> list[StoryLine]:
    """
    Return the steps of a request in their order, over all hosts.

    :param request: id of the request.
    :param lines: lines of all hosts, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in ordered if line.fields.get('request') == request]
    if not own:
        return []
    servers = {line.server for line in own} - {''}
    first_s = own[0].time_s
    last_s = own[-1].time_s + _AFTER_S
    told = []
    for line in ordered:
        is_own = line.fields.get('request') == request
        is_near = first_s - _BEFORE_S <= line.time_s <= last_s
        if is_own or (is_near and _is_trouble(line, servers)):
            told.append(_step(line, first_s, is_own=is_own))
    return told


def _is_trouble(line: LogLine, servers: set[str]) -> bool:
    if line.server in servers:
        is_good = line.fields.get('status') == 200
        return not is_good and line.fields.get('event') != 'attempt_sent'
    text = str(line.fields.get('text', ''))
    return any(server in text for server in servers)


def _step(line: LogLine, first_s: float, *, is_own: bool) -> StoryLine:
    fields = line.fields
    details = ', '.join(
        f'{name} {told}' for name, told in fields.items() if name not in _KNOWN
    )
    return StoryLine(
        at_s=round(line.time_s - first_s, 3),
        host=line.source,
        about='request' if is_own else 'server',
        event=str(fields.get('event') or fields.get('text', '')),
        details=details,
    )
