"""Suspects: requests by their identity, and the shared parts of prompts."""

from __future__ import annotations

import hashlib

from ..upstream import ForwardRequest

__all__ = [
    'MIN_SECRET_BYTES',
    'is_part',
    'part_suspect',
    'request_identity',
    'request_suspect',
    'shared_parts',
    'shares_parts',
]

#: Shortest key with which requests are identified.
MIN_SECRET_BYTES = 16
_MAX_SECRET_BYTES = 64
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8
_PART = 'part/'
_REQUEST = 'request/'
_SHARING_REQUEST = 'sharing-request/'


def request_identity(secret: bytes, forward: ForwardRequest) -> str:
    """
    Return the identity of a request; repeats under other ids have the same.

    It is a digest with the fleet's secret, as bodies are often easy to guess.

    :param secret: secret that all daemons share, empty if it is not known.
    :param forward: the request.
    :returns: digest of method, target, client account and body; empty without
        a secret.
    """
    if len(secret) < MIN_SECRET_BYTES:
        return ''
    digest = hashlib.blake2b(
        key=secret[:_MAX_SECRET_BYTES], digest_size=_DIGEST_BYTES
    )
    for field in (
        forward.method.encode(),
        forward.target,
        forward.account.encode(),
        forward.body,
    ):
        # The length keeps neighbouring fields apart.
        digest.update(len(field).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(field)
    return digest.hexdigest()


def request_suspect(identity: str, parts: tuple[str, ...] = ()) -> str:
    """
    Return the suspect for all requests of an identity.

    :param identity: identity of the requests.
    :param parts: parts of their prompt that other requests may share.
    """
    prefix = _SHARING_REQUEST if parts else _REQUEST
    return f'{prefix}{identity}'


def part_suspect(part: str) -> str:
    """Return the suspect for all requests with a part in their prompt."""
    return f'{_PART}{part}'


def is_part(suspect: str) -> bool:
    """Return whether a suspect is a part of a prompt."""
    return suspect.startswith(_PART)


def shares_parts(suspect: str) -> bool:
    """Return whether a suspect is a request with parts that others share."""
    return suspect.startswith(_SHARING_REQUEST)


def shared_parts(forward: ForwardRequest) -> tuple[str, ...]:
    """Return the suspects among the parts of a request's prompt."""
    parts = forward.caller.shared_prompt_parts
    return tuple(part_suspect(part) for part in parts)
