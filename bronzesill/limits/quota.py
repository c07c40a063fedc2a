"""Quotas of client accounts, shared over daemons by grants that run out."""

import dataclasses

__all__ = [
    'GRANT_S',
    'QuotaAnswer',
    'QuotaQuestion',
    'QuotaTable',
    'wanted_grant',
]

#: Seconds after which a grant that nobody renews is free again.
GRANT_S = 5.0

_HEADROOM = 4


@dataclasses.dataclass(frozen=True)
class QuotaQuestion:
    """
    Request of a daemon for a part of an account's quota.

    :param account: client account.
    :param daemon: daemon that asks.
    :param wanted: generations that it wants to run at once.
    :param limit: quota of the account in the whole site.
    """

    account: str
    daemon: str
    wanted: int
    limit: int


@dataclasses.dataclass(frozen=True)
class QuotaAnswer:
    """
    Part of the quota that a daemon may use until it runs out.

    :param granted: generations that it may run at once.
    """

    granted: int


@dataclasses.dataclass(frozen=True)
class _Grant:
    amount: int
    until_s: float


class QuotaTable:
    """
    Grants that one home daemon gave; does no I/O and reads no clock.

    While a home keeps its memory the grants of an account never exceed its
    quota.  After a change of home the old grants last for five seconds
    beside the new ones, so that at worst twice the quota is out.
    """

    def __init__(self) -> None:
        self._grants_by_account: dict[str, dict[str, _Grant]] = {}

    def __len__(self) -> int:
        return len(self._grants_by_account)

    def ask(self, question: QuotaQuestion, now_s: float) -> QuotaAnswer:
        """Grant what is wanted, as far as other daemons leave it."""
        held = self._grants_by_account.get(question.account, {})
        others = {
            daemon: grant
            for daemon, grant in held.items()
            if grant.until_s > now_s and daemon != question.daemon
        }
        taken = sum(grant.amount for grant in others.values())
        amount = max(min(question.wanted, question.limit - taken), 0)
        if amount:
            others[question.daemon] = _Grant(amount, now_s + GRANT_S)
        self._grants_by_account[question.account] = others
        return QuotaAnswer(amount)

    def expire(self, now_s: float) -> None:
        """Forget accounts without a grant."""
        self._grants_by_account = {
            account: grants
            for account, grants in self._grants_by_account.items()
            if any(grant.until_s > now_s for grant in grants.values())
        }


def wanted_grant(running: int) -> int:
    """
    Return how much a daemon asks for: what runs and some headroom.

    :param running: generations of the account running here.
    """
    return running + max(2, running // _HEADROOM)
