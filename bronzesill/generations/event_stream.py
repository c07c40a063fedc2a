"""Splitting of server-sent event streams that preserves every byte."""

from __future__ import annotations

import dataclasses
import re

from ..utils import parse_integer

__all__ = ['EventSplitter', 'StreamEvent']

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
#: Names of fields are in lower case; a comment has an empty one.
_FIELD_PATTERN = re.compile(rb'[a-z-]*(:|$)')
_MAX_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """
    One complete server-sent event.

    :param number: value of the ``id`` field, or None if the field is missing
        or not a decimal number.
    :param text: bytes of the event and its blank line, decoded as Latin-1 so
        that each byte is one character.
    :param is_sound: whether it consists of fields, with at most one ``id``.
    """

    number: int | None
    text: str
    is_sound: bool = True


class EventSplitter:
    """Incremental splitter of a byte stream into events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end with an incomplete event."""
        return bool(self._pending)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the incomplete event at the end, 0 for none."""
        return len(self._pending)

    def feed(self, body: bytes) -> list[StreamEvent]:
        """
        Append bytes and return the events completed by them.

        :raises ValueError: an event exceeds 1 MiB.
        """
        parts = (self._pending + body).split(_EVENT_END)
        self._pending = parts.pop()
        if len(self._pending) > _MAX_EVENT_BYTES:
            raise ValueError(f'event exceeds {_MAX_EVENT_BYTES} bytes')
        return [_parse_event(raw_event + _EVENT_END) for raw_event in parts]


def _parse_event(raw_event: bytes) -> StreamEvent:
    lines = raw_event.splitlines()
    ids = [line for line in lines if line.startswith(_ID_FIELD)]
    number = None
    if ids:
        number = parse_integer(ids[-1].removeprefix(_ID_FIELD).strip())
    are_fields = all(_FIELD_PATTERN.match(line) for line in lines if line)
    is_sound = are_fields and len(ids) <= 1
    return StreamEvent(number, raw_event.decode('latin-1'), is_sound)
