"""Parts of prompts that an engine holds in its cache."""

from __future__ import annotations

from collections.abc import Mapping

import orjson

from ..upstream import (
    AnswerError,
    HttpCall,
    RequestNotSent,
    ServiceClient,
)
from ..utils import Address, read_integer

__all__ = ['decode_held_parts', 'fetch_held_parts']

_OK = 200
_LIST_PATH = '/v1/kv-list'


async def fetch_held_parts(
    address: Address, timeout_s: float
) -> Mapping[str, int]:
    """
    Return the tokens of each part of a prompt that an engine holds.

    The call delays the engine's work a little.

    :param address: address of the engine.
    :param timeout_s: timeout of the call in seconds.
    :returns: empty if the engine does not answer in time.
    """
    client = ServiceClient(address, timeout_s)
    try:
        answer = await client.call(HttpCall('GET', _LIST_PATH), timeout_s)
    except (AnswerError, RequestNotSent, TimeoutError):
        return {}
    finally:
        client.close()
    return decode_held_parts(answer.body) if answer.status == _OK else {}


def decode_held_parts(payload: bytes) -> Mapping[str, int]:
    """Decode the parts that an engine lists; empty if they are malformed."""
    try:
        rows = orjson.loads(payload)['held']
        # The first field of a row is always empty, the last one the model.
        return {
            row[1]: read_integer(row[2])
            for row in rows
            if isinstance(row[1], str)
        }
    except (ValueError, TypeError, LookupError):
        return {}
