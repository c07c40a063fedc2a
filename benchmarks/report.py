"""Tables and percentiles shared by the measurements."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import numpy as np

__all__ = ['Line', 'Spread', 'fit_line', 'print_table', 'spread_of']

_TARGET_DAEMONS = 360


@dataclasses.dataclass(frozen=True)
class Spread:
    """
    Percentiles of a sample.

    :param p50: median.
    :param p95: 95th percentile.
    :param p99: 99th percentile.
    :param largest: largest value.
    """

    p50: float
    p95: float
    p99: float
    largest: float


def spread_of(sample: Sequence[float]) -> Spread:
    """Return the percentiles of a sample, not-a-number if it is empty."""
    if not sample:
        return Spread(*(float('nan') for _ in range(4)))
    p50, p95, p99 = np.percentile(sample, (50, 95, 99))
    return Spread(float(p50), float(p95), float(p99), float(max(sample)))


@dataclasses.dataclass(frozen=True)
class Line:
    """
    Straight line through measured points.

    :param slope: growth per daemon.
    :param offset: value at no daemon.
    :param residual: largest distance of a point from the line.
    """

    slope: float
    offset: float
    residual: float

    def at(self, count: int = _TARGET_DAEMONS) -> float:
        """Return the value that the line gives at a number of daemons."""
        return self.offset + self.slope * count


def fit_line(counts: Sequence[float], points: Sequence[float]) -> Line:
    """Fit a line by least squares."""
    slope, offset = np.polyfit(counts, points, 1)
    fitted = np.polyval((slope, offset), counts)
    residual = float(np.max(np.abs(fitted - np.asarray(points))))
    return Line(float(slope), float(offset), residual)


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows below a head, columns aligned."""
    cells = [list(head), *([_cell(found) for found in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = [
            text.rjust(width) for text, width in zip(line, widths, strict=True)
        ]
        print('  '.join(padded), flush=True)


def _cell(found: object) -> str:
    return f'{found:.4g}' if isinstance(found, float) else str(found)
