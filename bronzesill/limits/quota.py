"""Client account quotas, divided among daemons by expiring grants."""

import dataclasses

__all__ = [
    'GRANT_TTL_S',
    'QuotaRequest',
    'QuotaResponse',
    'QuotaTable',
    'desired_grant',
]

#: Lifetime in seconds of a grant that is not renewed.
GRANT_TTL_S = 5.0

_HEADROOM_DIVISOR = 4


@dataclasses.dataclass(frozen=True)
class QuotaRequest:
    """
    Request of a daemon for a part of a client account's quota.

    :param account: client account.
    :param daemon: name of the requesting daemon.
    :param wanted: requested number of concurrent generations.
    :param limit: site-wide quota of the account.
    """

    account: str
    daemon: str
    wanted: int
    limit: int


@dataclasses.dataclass(frozen=True)
class QuotaResponse:
    """
    Grant of a part of the quota, valid for ``GRANT_TTL_S`` seconds.

    :param granted: number of concurrent generations the daemon may run.
    """

    granted: int


@dataclasses.dataclass(frozen=True)
class _Grant:
    amount: int
    expires_at_s: float


class QuotaTable:
    """
    Grants issued by one coordinator; does no I/O and reads no clock.

    As long as the coordinator of an account does not change or restart, its
    grants never exceed the quota of the account.  After such a change the
    grants of the former coordinator remain valid for up to five seconds, so
    that up to twice the quota may be in use during that time.
    """

    def __init__(self) -> None:
        self._grants_by_account: dict[str, dict[str, _Grant]] = {}

    def __len__(self) -> int:
        return len(self._grants_by_account)

    def ask(self, request: QuotaRequest, now_s: float) -> QuotaResponse:
        """Grant the requested amount, limited by grants of other daemons."""
        grants = self._grants_by_account.get(request.account, {})
        others = {
            daemon: grant
            for daemon, grant in grants.items()
            if grant.expires_at_s > now_s and daemon != request.daemon
        }
        granted_to_others = sum(grant.amount for grant in others.values())
        amount = max(min(request.wanted, request.limit - granted_to_others), 0)
        if amount:
            others[request.daemon] = _Grant(amount, now_s + GRANT_TTL_S)
        self._grants_by_account[request.account] = others
        return QuotaResponse(amount)

    def expire(self, now_s: float) -> None:
        """Remove accounts that have no unexpired grant."""
        self._grants_by_account = {
            account: grants
            for account, grants in self._grants_by_account.items()
            if any(grant.expires_at_s > now_s for grant in grants.values())
        }


def desired_grant(running: int) -> int:
    """
    Return the grant to request: running generations plus headroom.

    The headroom is a quarter of the running generations, at least two.

    :param running: generations of the account running on this daemon.
    """
    return running + max(2, running // _HEADROOM_DIVISOR)
