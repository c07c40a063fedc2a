"""Identities of requests by which hosts recognise repeats."""

from __future__ import annotations

import hashlib

from ..upstream import ForwardRequest

__all__ = ['MIN_SECRET_BYTES', 'request_identity']

#: Shortest key with which requests are identified.
MIN_SECRET_BYTES = 16
_MAX_SECRET_BYTES = 64
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


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
