"""One request's way through the hosts, from their log lines."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Mapping
from typing import Any

import orjson

__all__ = ['LogLine', 'StoryLine', 'parse_line', 'tell_story']

_BEFORE_S = 2.0
_AFTER_S = 0.5
#: Events after which a request is still under way.
_UNDER_WAY = frozenset(('attempt_sent', 'attempt_lost'))
#: What a host says when it starts.
_SERVES = ' serves on '
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
    :param about: ``request``; ``server`` for what else was seen of a server
        that the request met; ``host`` for the next start of a host on which
        the request did not end.
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
    first_s = own[0].time_s
    told = [
        _step(line, first_s, about)
        for line in ordered
        if (about := _about(line, own))
    ]
    starts = _next_start(ordered, own[-1])
    return [*told, *(_step(start, first_s, 'host') for start in starts)]


def _about(line: LogLine, own: list[LogLine]) -> str:
    """Return what a line is about, empty if it is not told."""
    if line.fields.get('request') == own[0].fields['request']:
        return 'request'
    servers = {each.server for each in own} - {''}
    from_s = own[0].time_s - _BEFORE_S
    is_near = from_s <= line.time_s <= own[-1].time_s + _AFTER_S
    return 'server' if is_near and _is_trouble(line, servers) else ''


def _next_start(ordered: Iterable[LogLine], last: LogLine) -> Iterable[LogLine]:
    """Return the start of a host that ended with a request under way."""
    if last.fields.get('event') not in _UNDER_WAY:
        return ()
    starts = (
        line
        for line in ordered
        if line.source == last.source
        and line.time_s > last.time_s
        and _SERVES in str(line.fields.get('text', ''))
    )
    return itertools.islice(starts, 1)


def _is_trouble(line: LogLine, servers: set[str]) -> bool:
    if line.server in servers:
        is_good = line.fields.get('status') == 200
        return not is_good and line.fields.get('event') != 'attempt_sent'
    text = str(line.fields.get('text', ''))
    return any(server in text for server in servers)


def _step(line: LogLine, first_s: float, about: str) -> StoryLine:
    fields = line.fields
    details = ', '.join(
        f'{name} {told}' for name, told in fields.items() if name not in _KNOWN
    )
    return StoryLine(
        at_s=round(line.time_s - first_s, 3),
        host=line.source,
        about=about,
        event=str(fields.get('event') or fields.get('text', '')),
        details=details,
    )
