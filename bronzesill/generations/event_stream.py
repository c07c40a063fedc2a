"""Server-sent events, cut apart without changing a byte."""

from __future__ import annotations

import dataclasses

__all__ = ['EventSplitter', 'StreamEvent']

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """
    One whole event.

    :param number: its id, none if it has no usable one.
    :param text: its bytes with the blank line, one character each.
    """

    number: int | None
    text: str


class EventSplitter:
    """Cuts whole events from the bytes of a stream."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an event came that is not whole."""
        return bool(self._pending)

    def feed(self, body: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that are whole now."""
        parts = (self._pending + body).split(_EVENT_END)
        self._pending = parts.pop()
        return [_event(raw + _EVENT_END) for raw in parts]


def _event(raw: bytes) -> StreamEvent:
    number = None
    for line in raw.splitlines():
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            number = int(digits) if digits.isdigit() else None
    return StreamEvent(number, raw.decode('latin-1'))
