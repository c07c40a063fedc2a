"""Commands that need no fleet: ``explain`` and ``check-settings``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from ..config import DaemonSettings
from ..platform import read_settings
from ..utils import DocumentInvalid, ResultCode
from .output import show_table
from .story import LogLine, parse_line, tell_story

__all__ = ['check_settings', 'explain']


def explain(options: argparse.Namespace) -> ResultCode:
    """Tell a request's way through the hosts, from their logs."""
    story = tell_story(options.request, _lines(options.logs))
    show_table(story, options.output)
    return ResultCode.DONE if story else ResultCode.REQUEST_UNKNOWN


def check_settings(options: argparse.Namespace) -> ResultCode:
    """Check a settings file and list every fault with its place."""
    read = read_settings if options.hosted else DaemonSettings.from_file
    try:
        read(options.file)
    except DocumentInvalid as error:
        for fault in error.faults:
            sys.stderr.write(f'{options.file}: {fault}\n')
        return ResultCode.DOCUMENT_INVALID
    print(f'{options.file}: usable')
    return ResultCode.DONE


def _lines(paths: list[Path]) -> Iterator[LogLine]:
    for path in paths:
        with path.open(errors='replace') as log:
            for text in log:
                line = parse_line(path.stem, text)
                if line is not None:
                    yield line
