"""
Whether an answer that ends with its connection may be taken as complete.

Nothing in such an answer tells its end from a server that gave up.  A server
that had not read the request when it ended the answer has not answered it.
"""

from __future__ import annotations

import dataclasses

__all__ = [
    'RESET_WAIT_S',
    'SMALL_REQUEST_BYTES',
    'TransmissionState',
    'find_incompleteness',
    'needs_reset_wait',
]

#: A server that has read the head of such a request has usually read the
#: rest with it.
SMALL_REQUEST_BYTES = 16 * 1024
#: Time after the server's end in which the reset arrives that a system sends
#: for a connection closed with unread bytes.
RESET_WAIT_S = 0.1
#: A usual receive window.  The system of a server may acknowledge so many
#: bytes of a request that its program never reads.
_WINDOW_BYTES = 64 * 1024
#: Time in which a server can read and process a request of that size.
_SHORTEST_ANSWER_S = 0.02
#: Time after which a server that still sends has not given the request up.
_LONG_ANSWER_S = 0.5


@dataclasses.dataclass(frozen=True)
class TransmissionState:
    """
    How far a request has come at one moment.

    :param unsent_bytes: bytes that the server's system has not acknowledged.
    :param idle_s: seconds since the last byte was sent.
    """

    unsent_bytes: int
    idle_s: float


def needs_reset_wait(request_bytes: int) -> bool:
    """
    Return whether to wait for a reset after the end of an answer.

    :param request_bytes: size of the request.
    """
    return request_bytes > SMALL_REQUEST_BYTES


def find_incompleteness(
    request_bytes: int, at_head: TransmissionState, at_end: TransmissionState
) -> str:
    """
    Return why an answer is not known to be complete, empty if it is.

    :param request_bytes: size of the request with its head.
    :param at_head: the moment at which the answer began.
    :param at_end: the moment at which the server ended it.
    """
    if at_end.unsent_bytes:
        return f'ended with {at_end.unsent_bytes} bytes of the request unsent'
    if request_bytes <= _WINDOW_BYTES or at_end.idle_s >= _LONG_ANSWER_S:
        return ''
    if at_head.unsent_bytes or at_head.idle_s < _SHORTEST_ANSWER_S:
        return 'began before the request can have been read'
    return ''
