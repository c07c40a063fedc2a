"""Messages between a daemon and the homes of a request."""

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
    Offer of a record.

    :param record: the record.
    """

    record: LocationRecord


@dataclasses.dataclass(frozen=True)
class TakeOverLocation:
    """
    Word that another daemon looks after an attempt now.

    :param record: the record with its new owner.
    """

    record: LocationRecord


@dataclasses.dataclass(frozen=True)
class FindLocation:
    """
    Question where a request runs.

    :param request_key: client account and request id.
    """

    request_key: str


@dataclasses.dataclass(frozen=True)
class LocationAnswer:
    """
    The record that holds, none if there is none.

    :param record: the record.
    """

    record: LocationRecord | None
