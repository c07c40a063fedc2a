"""Structured log lines on top of ``absl.logging``."""

from __future__ import annotations

import asyncio
import dataclasses
import logging as standard_logging
import os
import time
import traceback
from typing import Any

import orjson
from absl import flags, logging

__all__ = [
    'DroppingStream',
    'JsonFormatter',
    'LineRateLimiter',
    'PartLogger',
    'StepLog',
    'configure_logging',
    'filter_server_logs',
    'log_unexpected',
]

_MAX_LINES_PER_S = 60
_STDOUT_FD = 1
_MAX_LINE_BYTES = 4000
_FRAMES = 4
_FIELDS_ATTRIBUTE = 'event_fields'


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


class PartLogger:
    """
    Logger of one component.

    :param part: name of the component, for example ``gateway``.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._prefix = f'[{part}] '
        self._rate_limiter = LineRateLimiter()

    @logging.skip_log_prefix
    def info(self, template: str, *fields: object) -> None:
        """Log normal operation; ``fields`` replace ``%s`` in ``template``."""
        logging.info(self._prefix + template, *fields)

    @logging.skip_log_prefix
    def warning(self, template: str, *fields: object) -> None:
        """Log a condition that an operator may want to investigate."""
        logging.warning(self._prefix + template, *fields)

    @logging.skip_log_prefix
    def error(self, template: str, *fields: object) -> None:
        """Log a failure that requires attention by an operator."""
        logging.error(self._prefix + template, *fields)

    def event(self, event: str, **fields: object) -> None:
        """
        Log a decision together with its inputs.

        The number of lines per kind and second is limited.  The next written
        line of that kind holds the number of suppressed ones in its field
        ``suppressed``.

        :param event: kind of the line.
        :param fields: request id, inputs and outcome.
        """
        if not logging.vlog_is_on(logging.INFO):
            return
        admitted = self._rate_limiter.admit(event, time.monotonic())
        if admitted is None:
            return
        if admitted.suppressed:
            fields['suppressed'] = admitted.suppressed
        line_fields = {'part': self._part, 'event': event, **fields}
        logging.get_absl_logger().info(
            event, extra={_FIELDS_ATTRIBUTE: line_fields}
        )


class StepLog:
    """
    Logs when each step of a process is first reached.

    :param logger: logger of the component.
    :param event: kind of the lines.
    :param began_s: monotonic time in seconds at which the process began.
    """

    def __init__(self, logger: PartLogger, event: str, began_s: float) -> None:
        self._logger = logger
        self._event = event
        self._began_s = began_s
        self._reached: set[str] = set()

    def has_reached(self, step: str) -> bool:
        """Return whether a step was logged."""
        return step in self._reached

    def reach(self, step: str, **fields: object) -> None:
        """
        Log a step and the seconds since the beginning, the first time only.

        :param step: name of the step.
        :param fields: what is known at that step.
        """
        if step in self._reached:
            return
        self._reached.add(step)
        after_s = round(time.monotonic() - self._began_s, 3)
        self._logger.event(self._event, step=step, after_s=after_s, **fields)


_requests_log = PartLogger('requests')


def log_unexpected(request_id: str, step: str, error: Exception) -> None:
    """
    Log an error that no handler expects, with the place that raised it.

    :param request_id: id of the request that met the error.
    :param step: what was done for the request.
    :param error: the error.
    """
    frames = traceback.extract_tb(error.__traceback__)[-_FRAMES:]
    _requests_log.event(
        'unexpected_error',
        request=request_id,
        step=step,
        error=repr(error),
        trace=[f'{frame.name}:{frame.lineno}' for frame in frames],
    )


class JsonFormatter(standard_logging.Formatter):
    """Format records as one JSON object per line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return time, level, and text or event fields of a record as JSON."""
        line: dict[str, Any] = {
            'time_s': round(record.created, 3),
            'level': record.levelname.lower(),
        }
        fields = getattr(record, _FIELDS_ATTRIBUTE, None)
        line.update(fields or _split_part(record.getMessage()))
        if record.exc_info:
            line['trace'] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


class DroppingStream:
    """
    Output stream that drops lines instead of blocking on a slow reader.

    :param descriptor: open file descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, truncated if too long; count it if it is dropped."""
        line = text.encode(errors='replace')
        if len(line) > _MAX_LINE_BYTES:
            line = b'%b...\n' % line[:_MAX_LINE_BYTES]
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing, because lines are written without buffering."""

    def close(self) -> None:
        """Do nothing; the descriptor belongs to the process."""


def configure_logging(level: str, *, is_json: bool = False) -> None:
    """
    Write log lines to standard error, or as JSON to standard output.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param is_json: whether lines are JSON on standard output.
    """
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)
    if is_json:
        handler = logging.get_absl_handler()
        handler.setFormatter(JsonFormatter())
        handler.python_handler.stream = DroppingStream(_STDOUT_FD)
        # Otherwise lines are written to standard error as well.
        logging.set_stderrthreshold('fatal')


def filter_server_logs(expected: type[Exception]) -> None:
    """
    Suppress log records of the HTTP server that are logged elsewhere.

    :param expected: exception that is raised to abort a response on purpose.
    """
    logger = standard_logging.getLogger('uvicorn.error')
    logger.setLevel(standard_logging.WARNING)
    logger.addFilter(lambda record: not _is_expected_error(record, expected))


def _is_expected_error(
    record: standard_logging.LogRecord, expected: type[Exception]
) -> bool:
    return record.exc_info is not None and isinstance(
        record.exc_info[1], expected | asyncio.CancelledError
    )


def _split_part(message: str) -> dict[str, str]:
    part, separator, text = message.partition('] ')
    if not separator or not part.startswith('['):
        return {'part': '', 'text': message}
    return {'part': part[1:], 'text': text}
