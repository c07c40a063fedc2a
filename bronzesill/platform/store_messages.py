"""Messages of the platform's key-value service."""

from __future__ import annotations

import base64
import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

from ..store import Changes, Lease, Mutation, StoredEntry, StoreRevision
from ..utils import BronzesillError, ResultCode, read_flag, read_integer

__all__ = [
    'StorePage',
    'decode_changes',
    'decode_page',
    'decode_response',
    'encode_write',
    'read_changes',
    'read_entry',
    'read_lease',
    'read_page',
    'read_revision',
    'unavailable',
]

T = TypeVar('T')

#: Identifiers of leases are opaque; some stores use all of 64 bits.
_MAX_LEASE_ID = 2**64 - 1
#: Exceptions raised when a response does not have the expected structure.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, AttributeError)


@dataclasses.dataclass(frozen=True)
class StorePage:
    """
    One page of a range of keys.

    :param entries: keys of the page.
    :param revision: revision of the store.
    :param has_more: whether another page follows.
    """

    entries: tuple[StoredEntry, ...]
    revision: StoreRevision
    has_more: bool


def unavailable(detail: str) -> BronzesillError:
    """Return the error of a call that the service did not execute."""
    return BronzesillError(
        ResultCode.STORE_UNAVAILABLE, f'key-value store unavailable: {detail}'
    )


def encode_write(mutation: Mutation, payload: bytes) -> dict[str, Any]:
    """Return the JSON of one key to write."""
    # The field `value` holds the payload in base64.
    write: dict[str, Any] = {
        'key': mutation.key,
        'value': base64.b64encode(payload).decode(),
    }
    if mutation.lease is not None:
        write['leaseId'] = mutation.lease.lease_id
    return write


def decode_response(decode: Callable[[Any, int], T], raw: Any, era: int) -> T:
    """
    Return what the decoded JSON of a response describes.

    :param decode: function of the JSON and the era; may raise the exceptions
        of reading a malformed document.
    :param raw: decoded JSON of the response.
    :param era: era of the store in which it answered.
    :raises BronzesillError: ``STORE_UNAVAILABLE``, the JSON is malformed.
    """
    try:
        return decode(raw, era)
    except _DECODE_ERRORS as error:
        raise unavailable(f'malformed response: {error}') from error


def decode_page(raw: Any, era: int) -> StorePage:
    """
    Decode one page of a range of keys.

    :param raw: decoded JSON of the response.
    :param era: era of the store in which it answered.
    :raises BronzesillError: ``STORE_UNAVAILABLE``, the page is malformed.
    """
    return decode_response(read_page, raw, era)


def decode_changes(raw: Any, era: int) -> Changes:
    """
    Decode the response of a watch.

    :param raw: decoded JSON of the response.
    :param era: era of the store in which it answered.
    :raises BronzesillError: ``STORE_UNAVAILABLE``, the response is malformed.
    """
    return decode_response(read_changes, raw, era)


def read_page(raw: Any, era: int) -> StorePage:
    """Read a page; raise an error of reading if it is malformed."""
    entries = tuple(read_entry(entry, era) for entry in raw['entries'])
    has_more = read_flag(raw['hasMore'])
    if has_more and not entries:
        raise ValueError('an empty page is not the last one')
    revision = StoreRevision(era, read_integer(raw['atRevision']))
    return StorePage(entries, revision, has_more)


def read_changes(raw: Any, era: int) -> Changes:
    """Read changes; raise an error of reading if they are malformed."""
    entries = tuple(read_entry(entry, era) for entry in raw['events'])
    return Changes(entries, StoreRevision(era, read_integer(raw['atRevision'])))


def read_revision(raw: Any, era: int) -> StoreRevision:
    """Read the revision of a write."""
    return StoreRevision(era, read_integer(raw['revision']))


def read_lease(raw: Any, era: int) -> Lease:
    """Read a lease that was granted."""
    return Lease(read_integer(raw['leaseId'], highest=_MAX_LEASE_ID), era)


def read_entry(raw: Any, era: int) -> StoredEntry:
    """Read a key with its value, or its removal."""
    key = raw['key']
    if not isinstance(key, str):
        raise ValueError('expected a key')
    # `compacted` in a watch event means that the key was removed.
    return StoredEntry(
        key=key,
        payload=base64.b64decode(raw.get('value', '')),
        revision=read_revision(raw, era),
        is_removed=read_flag(raw.get('compacted', False)),
    )
