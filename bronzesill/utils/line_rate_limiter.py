"""Rate limit for log lines of one kind."""

from __future__ import annotations

import dataclasses

__all__ = ['AdmittedLine', 'LineRateLimiter']

_MAX_LINES_PER_S = 60


@dataclasses.dataclass(frozen=True)
class AdmittedLine:
    """
    Permission to write one log line.

    :param suppressed: number of lines of this kind that were suppressed
        since the previous written one.
    """

    suppressed: int


@dataclasses.dataclass
class _Kind:
    second: int = 0
    lines: int = 0
    suppressed: int = 0


class LineRateLimiter:
    """
    Limits the number of log lines per kind and second.

    :param max_lines_per_s: maximum number of lines of one kind per second.
    """

    def __init__(self, max_lines_per_s: int = _MAX_LINES_PER_S) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._kinds_by_name: dict[str, _Kind] = {}

    def admit(self, name: str, now_s: float) -> AdmittedLine | None:
        """
        Return a permission to write a line if the limit is not reached.

        :param name: kind of the line.
        :param now_s: current time in seconds.
        :returns: none if the line has to be suppressed.
        """
        kind = self._kinds_by_name.setdefault(name, _Kind())
        if kind.second != int(now_s):
            kind.second = int(now_s)
            kind.lines = 0
        if kind.lines >= self._max_lines_per_s:
            kind.suppressed += 1
            return None
        kind.lines += 1
        admitted = AdmittedLine(kind.suppressed)
        kind.suppressed = 0
        return admitted
