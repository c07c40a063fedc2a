"""Which statuses are answers, by RFC 9110, section 15."""

from __future__ import annotations

import enum
from collections.abc import Mapping

__all__ = [
    'StatusKind',
    'classify_status',
    'find_interim_fault',
    'is_answer_status',
]

#: Interim heads before one answer.  A server sends one or two; a faulty one
#: may send them without end.
_MAX_INTERIM_HEADS = 16
_FIRST_INTERIM = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_ANSWER = 200
_LAST_ANSWER = 599
_BODY_HEADERS = (b'content-length', b'transfer-encoding')


class StatusKind(enum.Enum):
    """What a status says about the head that bears it."""

    INTERIM = 'interim'
    ANSWER = 'answer'
    INVALID = 'invalid'


def classify_status(status: int) -> StatusKind:
    """
    Return what a status means for a request without an upgrade.

    A switch of protocols is invalid because this host never asks for one.

    :param status: status of a received head.
    """
    if is_answer_status(status):
        return StatusKind.ANSWER
    is_interim = _FIRST_INTERIM <= status < _FIRST_ANSWER
    if is_interim and status != _SWITCHING_PROTOCOLS:
        return StatusKind.INTERIM
    return StatusKind.INVALID


def is_answer_status(status: int) -> bool:
    """
    Return whether a status is that of an answer.

    :param status: status of a received head.
    """
    return _FIRST_ANSWER <= status <= _LAST_ANSWER


def find_interim_fault(text_by_name: Mapping[bytes, bytes], count: int) -> str:
    """
    Return what is wrong with an interim head, empty for nothing.

    :param text_by_name: its headers, with names in lower case.
    :param count: number of interim heads of this answer, with this one.
    """
    if count > _MAX_INTERIM_HEADS:
        return 'too many interim responses'
    for name in _BODY_HEADERS:
        if text_by_name.get(name, b'0') != b'0':
            return 'interim response with a body'
    return ''
