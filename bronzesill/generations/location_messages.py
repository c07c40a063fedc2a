"""Messages between a daemon and the daemons that keep location records."""

import dataclasses

from .locations import LocationRecord

__all__ = [
    'ClaimLocation',
    'FindLocation',
    'LocationAnswer',
    'TakeOverLocation',
]


@dataclasses.dataclass(frozen=True)
class ClaimLocation:
    """
    Request to store a record unless another one takes precedence.

    :param record: record to store.
    """

    record: LocationRecord


@dataclasses.dataclass(frozen=True)
class TakeOverLocation:
    """
    Request to change the owner of an attempt.

    :param record: record with the new owner.
    """

    record: LocationRecord


@dataclasses.dataclass(frozen=True)
class FindLocation:
    """
    Request for the location record of a request.

    :param request_key: client account and request id, joined by a slash.
    """

    request_key: str


@dataclasses.dataclass(frozen=True)
class LocationAnswer:
    """
    Reply to each of the requests in this module.

    :param record: record in force, or None if there is none.
    """

    record: LocationRecord | None
