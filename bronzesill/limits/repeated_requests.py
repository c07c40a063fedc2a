"""Refused requests that callers send again before the time they were told."""

from __future__ import annotations

import math

__all__ = ['RepeatedRequests']

#: A request with the same body within this time repeats a refused one.
_REPEAT_S = 10.0
_MAX_REFUSED = 4096


class RepeatedRequests:
    """Refused requests by the hash of their body, and accounts that repeat."""

    def __init__(self) -> None:
        self._retry_at_s_by_body: dict[int, float] = {}
        self._until_s_by_account: dict[str, float] = {}

    def note_refused(self, fingerprint: int, retry_at_s: float) -> None:
        """
        Note the time from which a refused request may be repeated.

        :param fingerprint: hash of its body, 0 if unknown.
        :param retry_at_s: time in seconds that its caller was told.
        """
        if not fingerprint:
            return
        # The oldest is kept first.
        self._retry_at_s_by_body.pop(fingerprint, None)
        self._retry_at_s_by_body[fingerprint] = retry_at_s
        if len(self._retry_at_s_by_body) > _MAX_REFUSED:
            self._retry_at_s_by_body.pop(next(iter(self._retry_at_s_by_body)))

    def is_repeated(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a request was refused before."""
        told_at_s = self._retry_at_s_by_body.get(fingerprint, -math.inf)
        return now_s <= told_at_s + _REPEAT_S

    def is_early(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a request comes before the time that was told."""
        return now_s < self._retry_at_s_by_body.get(fingerprint, -math.inf)

    def note_early(self, account: str, now_s: float) -> None:
        """Note an account that repeats requests earlier than told."""
        self._until_s_by_account[account] = now_s + _REPEAT_S

    def is_repeating(self, account: str, now_s: float) -> bool:
        """Return whether an account repeated requests earlier than told."""
        return self._until_s_by_account.get(account, -math.inf) > now_s
