"""Splitting of server-sent event streams that preserves every byte."""

from __future__ import annotations

import dataclasses

from ..utils import parse_integer

__all__ = ['EventSplitter', 'StreamEvent']

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_MAX_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """
    One complete server-sent event.

    :param number: value of the ``id`` field, or None if the field is missing
        or not a decimal number.
    :param text: bytes of the event and its blank line, decoded as Latin-1 so
        that each byte is one character.
    """

    number: int | None
    text: str


class EventSplitter:
    """Incremental splitter of a byte stream into events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end with an incomplete event."""
        return bool(self._pending)

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
    number = None
    for line in raw_event.splitlines():
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            number = parse_integer(digits)
    return StreamEvent(number, raw_event.decode('latin-1'))
