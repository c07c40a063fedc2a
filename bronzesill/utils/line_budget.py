"""How many log lines of a kind are written in a second."""

from __future__ import annotations

import dataclasses

__all__ = ['Admitted', 'LineBudget']

_LINES_PER_S = 60


@dataclasses.dataclass(frozen=True)
class Admitted:
    """
    A line may be written.

    :param suppressed: lines of its kind left out since the last one.
    """

    suppressed: int


@dataclasses.dataclass
class _Kind:
    second: int = 0
    lines: int = 0
    suppressed: int = 0


class LineBudget:
    """
    Counts lines by kind and second.

    :param lines_per_s: lines of one kind a second.
    """

    def __init__(self, lines_per_s: int = _LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._kinds_by_name: dict[str, _Kind] = {}

    def admit(self, name: str, now_s: float) -> Admitted | None:
        """
        Say whether a line may be written.

        :param name: kind of the line.
        :param now_s: time in seconds.
        :returns: none if it is left out.
        """
        kind = self._kinds_by_name.setdefault(name, _Kind())
        if kind.second != int(now_s):
            kind.second = int(now_s)
            kind.lines = 0
        if kind.lines >= self._lines_per_s:
            kind.suppressed += 1
            return None
        kind.lines += 1
        admitted = Admitted(kind.suppressed)
        kind.suppressed = 0
        return admitted
