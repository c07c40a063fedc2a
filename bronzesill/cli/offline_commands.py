"""Commands that only read files: ``explain`` and ``check-settings``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from ..config.settings import DaemonSettings
from ..platform.settings import read_settings
from ..utils import DocumentInvalid, ResultCode
from .output import show_table
from .request_trace import LogLine, parse_line, trace_request

__all__ = ['check_settings', 'explain']


def explain(options: argparse.Namespace) -> ResultCode:
    """Show the steps of a request on all hosts from their logs."""
    steps = trace_request(options.request, _read_lines(options.logs))
    show_table(steps, options.output)
    return ResultCode.DONE if steps else ResultCode.REQUEST_UNKNOWN


def check_settings(options: argparse.Namespace) -> ResultCode:
    """Validate a settings file and list every fault with its path."""
    read_file = read_settings if options.hosted else DaemonSettings.from_file
    try:
        read_file(options.file)
    except DocumentInvalid as error:
        for fault in error.faults:
            sys.stderr.write(f'{options.file}: {fault}\n')
        return ResultCode.DOCUMENT_INVALID
    print(f'{options.file}: valid')
    return ResultCode.DONE


def _read_lines(paths: list[Path]) -> Iterator[LogLine]:
    for path in paths:
        with path.open(errors='replace') as log:
            for text in log:
                line = parse_line(path.stem, text)
                if line is not None:
                    yield line
