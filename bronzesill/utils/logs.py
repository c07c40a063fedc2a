"""Log lines as JSON with a fixed part, by ``absl.logging``."""

from __future__ import annotations

import asyncio
import logging as standard_logging
import os
import time
from typing import Any

import orjson
from absl import flags, logging

from .line_budget import LineBudget

__all__ = [
    'DroppingStream',
    'JsonFormatter',
    'PartLogger',
    'configure_logging',
    'quiet_server_logs',
]

_STDOUT = 1
_MAX_LINE_BYTES = 4000
_FIELDS = 'event_fields'


class PartLogger:
    """
    Logger of one part of the system.

    :param part: name of the part, for example ``gateway``.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._prefix = f'[{part}] '
        self._budget = LineBudget()

    @logging.skip_log_prefix
    def info(self, template: str, *fields: object) -> None:
        """Log an ordinary event; ``template`` takes ``%s`` fields."""
        logging.info(self._prefix + template, *fields)

    @logging.skip_log_prefix
    def warning(self, template: str, *fields: object) -> None:
        """Log an event an operator may want to see."""
        logging.warning(self._prefix + template, *fields)

    @logging.skip_log_prefix
    def error(self, template: str, *fields: object) -> None:
        """Log a failure an operator has to see."""
        logging.error(self._prefix + template, *fields)

    def event(self, event: str, **fields: object) -> None:
        """
        Log a decision with what it was made on.

        Lines of one kind are bounded a second; what is left out is counted
        in the next line of that kind.

        :param event: kind of the line.
        :param fields: request id, inputs and outcome.
        """
        if not logging.vlog_is_on(logging.INFO):
            return
        admitted = self._budget.admit(event, time.monotonic())
        if admitted is None:
            return
        if admitted.suppressed:
            fields['suppressed'] = admitted.suppressed
        told = {'part': self._part, 'event': event, **fields}
        logging.get_absl_logger().info(event, extra={_FIELDS: told})


class JsonFormatter(standard_logging.Formatter):
    """One JSON object a line: time, level, and text or fields."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        line: dict[str, Any] = {
            'time_s': round(record.created, 3),
            'level': record.levelname.lower(),
        }
        fields = getattr(record, _FIELDS, None)
        line.update(fields or _split_part(record.getMessage()))
        if record.exc_info:
            line['trace'] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


class DroppingStream:
    """
    Output that drops lines rather than wait for their reader.

    :param descriptor: open file descriptor, made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line if the reader keeps up."""
        line = text.encode(errors='replace')
        if len(line) > _MAX_LINE_BYTES:
            line = b'%b...\n' % line[:_MAX_LINE_BYTES]
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing, for nothing is held back."""


def configure_logging(level: str, *, is_json: bool = False) -> None:
    """
    Send log lines to standard error, or as JSON to standard output.

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
        handler.python_handler.stream = DroppingStream(_STDOUT)
        # Lines would go to standard error as well.
        logging.set_stderrthreshold('fatal')


def quiet_server_logs(expected: type[Exception]) -> None:
    """
    Keep the HTTP server from logging what is logged elsewhere.

    :param expected: error by which an answer is broken off on purpose.
    """
    logger = standard_logging.getLogger('uvicorn.error')
    logger.setLevel(standard_logging.WARNING)
    logger.addFilter(lambda record: not _is_error(record, expected))


def _is_error(
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
