"""Printing of documents and tables as text, JSON or YAML."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import yaml

from ..utils import unstructure

__all__ = ['OUTPUT_FORMATS', 'show', 'show_table']

OUTPUT_FORMATS = ('text', 'json', 'yaml')


def show(document: object, output: str) -> None:
    """
    Print one document, as YAML for the format ``text``.

    :param document: a data class, or dictionaries and lists.
    :param output: one of :data:`OUTPUT_FORMATS`.
    """
    plain = unstructure(document)
    if output == 'json':
        print(json.dumps(plain, indent=2))
    else:
        print(yaml.safe_dump(plain, sort_keys=False).rstrip())


def show_table(rows: Sequence[object], output: str) -> None:
    """
    Print a table, with aligned columns for the format ``text``.

    :param rows: data classes or dictionaries with the same fields.
    :param output: one of :data:`OUTPUT_FORMATS`.
    """
    plain: list[dict[str, Any]] = [unstructure(row) for row in rows]
    if output != 'text':
        show(plain, output)
        return
    if not plain:
        print('none')
        return
    names = list(plain[0])
    _print_aligned(
        [names, *([str(row[name]) for name in names] for row in plain)]
    )


def _print_aligned(lines: list[list[str]]) -> None:
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = [cell.ljust(width) for cell, width in cells]
        print('  '.join(padded).rstrip())
