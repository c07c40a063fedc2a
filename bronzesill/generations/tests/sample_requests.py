"""Requests of a client account for streams of one route."""

from __future__ import annotations

from ...upstream import ForwardRequest
from ..request import GenerationRequest

__all__ = ['make_request']


def make_request(
    request_id: str,
    deadline_s: float,
    *,
    body: bytes = b'',
    can_reconnect: bool = False,
) -> GenerationRequest:
    """
    Return a request that is forwarded unchanged.

    :param request_id: id chosen by the caller.
    :param deadline_s: seconds until it fails.
    :param body: body of the original request.
    :param can_reconnect: whether its caller can ask for the answer again.
    """
    return GenerationRequest(
        request_id,
        f'gen-{request_id}',
        'huka',
        'guide',
        'v1',
        '',
        1,
        0,
        deadline_s,
        can_reconnect=can_reconnect,
        forward=ForwardRequest(
            request_id, 'POST', b'/guides', (), body, 'huka', deadline_s
        ),
    )
