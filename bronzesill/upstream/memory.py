"""The memory that requests and answers may take on this host."""

from __future__ import annotations

import enum
from operator import itemgetter
from typing import Protocol

from .answer import AnswerDropped

__all__ = ['AnswerKeeper', 'AnswerMemory', 'MemoryUse']

#: Budget where the platform states no limit.
_MAX_KEPT_BYTES = 48 * 1024 * 1024
#: Part of the limit of the host.  The rest is for the program itself, some
#: 50 MB, and for the copies of requests and answers that are being sent.
_LIMIT_SHARE = 0.3
_BYTES_PER_MB = 1_000_000
#: Part of the budget for uploads, so that what was admitted can be answered.
_UPLOAD_SHARE = 0.5


class MemoryUse(enum.Enum):
    """What bytes are held for."""

    UPLOADS = 'uploads'
    ANSWERS = 'answers'
    CALLERS = 'callers'


class AnswerKeeper(Protocol):
    """Owner of an answer that is kept."""

    def fail(self, error: AnswerDropped) -> None:
        """Give the answer up; its bytes are not counted any more."""


class AnswerMemory:
    """
    Bytes of requests, of answers, and in the buffers towards callers.

    A faulty server may send bytes without end, and a caller may read none.
    When the budget is short new uploads are refused.  When answers exceed it
    all the same, the largest is given up; most are small.

    :param max_bytes: budget for all together.
    """

    def __init__(self, max_bytes: int = _MAX_KEPT_BYTES) -> None:
        self.max_bytes = max_bytes
        self._bytes_by_keeper: dict[AnswerKeeper, int] = {}
        self._bytes_by_reader: dict[AnswerKeeper, int] = {}
        self._bytes_by_use = dict.fromkeys(MemoryUse, 0)

    @classmethod
    def from_limit(cls, memory_mb: float) -> AnswerMemory:
        """
        Return the memory of a host with a limit.

        :param memory_mb: limit of the host in megabytes, 0 if unknown.
        """
        if not memory_mb:
            return cls()
        return cls(int(memory_mb * _BYTES_PER_MB * _LIMIT_SHARE))

    @property
    def held_bytes(self) -> int:
        """All bytes that count."""
        return sum(self._bytes_by_use.values())

    def held_for(self, use: MemoryUse) -> int:
        """Return the bytes that are held for one use."""
        return self._bytes_by_use[use]

    def try_hold_upload(self, size: int, held: int = 0) -> bool:
        """
        Count bytes of a request unless the budget is short.

        The only upload is held in any case; the configuration bounds it.

        :param size: number of bytes.
        :param held: bytes of the same request that count already.
        """
        uploads = self._bytes_by_use[MemoryUse.UPLOADS]
        is_short = (
            uploads + size > self.max_bytes * _UPLOAD_SHARE
            or self.held_bytes + size > self.max_bytes
        )
        if uploads > held and is_short:
            return False
        self._bytes_by_use[MemoryUse.UPLOADS] += size
        return True

    def forget_upload(self, size: int) -> None:
        """Count bytes of a request no longer."""
        self._bytes_by_use[MemoryUse.UPLOADS] -= size

    def set_unread(self, reader: AnswerKeeper, size: int) -> None:
        """
        Count the bytes that wait for a caller, instead of those before.

        :param reader: connection to the caller, which may be given up.
        :param size: number of bytes, 0 if it has read what waited.
        """
        known = self._bytes_by_reader
        self._bytes_by_use[MemoryUse.CALLERS] += size - known.pop(reader, 0)
        if size:
            known[reader] = size
            self._drop_largest()

    def grow(self, keeper: AnswerKeeper, size: int) -> None:
        """
        Count more bytes of an answer that are kept.

        :param keeper: owner of the answer.
        :param size: number of bytes.
        :raises AnswerDropped: the answer is the largest of too many bytes.
        """
        known = self._bytes_by_keeper
        known[keeper] = known.get(keeper, 0) + size
        self._bytes_by_use[MemoryUse.ANSWERS] += size
        self._drop_largest(keeper)

    def forget(self, keeper: AnswerKeeper) -> None:
        """Count an answer no longer; it was passed on or given up."""
        freed = self._bytes_by_keeper.pop(keeper, 0)
        self._bytes_by_use[MemoryUse.ANSWERS] -= freed

    def _drop_largest(self, growing: AnswerKeeper | None = None) -> None:
        """
        Give up the largest answers while there are too many bytes.

        :raises AnswerDropped: the one that grows is the largest.
        """
        while self.held_bytes > self.max_bytes:
            known = {**self._bytes_by_keeper, **self._bytes_by_reader}
            if not known:
                return
            largest, _ = max(known.items(), key=itemgetter(1))
            self.forget(largest)
            self.set_unread(largest, 0)
            error = AnswerDropped('the answer is too large to be kept')
            if largest is growing:
                raise error
            largest.fail(error)
