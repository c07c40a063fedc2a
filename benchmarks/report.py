"""Percentiles, line fits and tables shared by the benchmarks."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import numpy as np

__all__ = [
    'LinearFit',
    'Percentiles',
    'fit_linear',
    'percentiles_of',
    'print_table',
]

_TARGET_DAEMONS = 360


@dataclasses.dataclass(frozen=True)
class Percentiles:
    """
    Percentiles of a sample.

    :param p50: median.
    :param p95: 95th percentile.
    :param p99: 99th percentile.
    :param largest: maximum.
    """

    p50: float
    p95: float
    p99: float
    largest: float


def percentiles_of(sample: Sequence[float]) -> Percentiles:
    """Return the percentiles of a sample, all NaN for an empty one."""
    if not sample:
        return Percentiles(*(float('nan') for _ in range(4)))
    p50, p95, p99 = np.percentile(sample, (50, 95, 99))
    return Percentiles(float(p50), float(p95), float(p99), float(max(sample)))


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """
    Straight line fitted to measured values as a function of fleet size.

    :param slope: increase per daemon.
    :param offset: extrapolated value for zero daemons.
    :param residual: largest absolute deviation of a measured value.
    """

    slope: float
    offset: float
    residual: float

    def value_at(self, count: int = _TARGET_DAEMONS) -> float:
        """Return the fitted value for a fleet of ``count`` daemons."""
        return self.offset + self.slope * count


def fit_linear(counts: Sequence[float], measured: Sequence[float]) -> LinearFit:
    """Fit measured values against numbers of daemons by least squares."""
    slope, offset = np.polyfit(counts, measured, 1)
    fitted = np.polyval((slope, offset), counts)
    residual = float(np.max(np.abs(fitted - np.asarray(measured))))
    return LinearFit(float(slope), float(offset), residual)


def print_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print rows below a header row, with right-aligned columns."""
    cells = [
        list(header),
        *([_format_cell(value) for value in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = [
            text.rjust(width) for text, width in zip(line, widths, strict=True)
        ]
        print('  '.join(padded), flush=True)


def _format_cell(value: object) -> str:
    return f'{value:.4g}' if isinstance(value, float) else str(value)
