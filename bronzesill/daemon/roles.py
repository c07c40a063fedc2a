"""Which daemons take which part, by what this daemon believes."""

from __future__ import annotations

from ..calls import Owner
from ..generations import Home
from ..limits import QuotaHome
from ..membership import (
    MembershipController,
    choose_entries,
    choose_homes,
    is_watcher,
)
from ..moves import Driver
from ..utils import Address

__all__ = ['RoleFinder']

_ENTRIES = 3


class RoleFinder:
    """
    Finds the daemons for a part by rendezvous hashing over the live ones.

    :param membership: what is believed of the fleet.
    """

    def __init__(self, membership: MembershipController) -> None:
        self._membership = membership

    def should_watch(self) -> bool:
        """Say whether this daemon holds a watch at the store."""
        return is_watcher(self._membership.view, self._membership.own)

    def entries(self, caller: str) -> tuple[Address, ...]:
        """Return the addresses that a caller is told to use."""
        chosen = choose_entries(
            self._membership.view, self._membership.own, caller, _ENTRIES
        )
        return tuple(member.callers for member in chosen)

    def homes(self, request_key: str) -> tuple[Home, ...]:
        """Return the daemons that keep the record of a request."""
        chosen = choose_homes(self._membership.view, request_key)
        return tuple(Home(member.name, member.peers) for member in chosen)

    def owners(self, partition: str) -> tuple[Owner, ...]:
        """Return the daemons to ask for a partition of the ledger."""
        chosen = choose_homes(self._membership.view, partition)
        return tuple(Owner(member.name, member.peers) for member in chosen)

    def drivers(self, move_id: str) -> tuple[Driver, ...]:
        """Return the daemons that drive a move, first choice first."""
        chosen = choose_homes(self._membership.view, f'move/{move_id}')
        return tuple(Driver(member.name, member.peers) for member in chosen)

    def quota_home(self, account: str) -> QuotaHome | None:
        """Return the daemon that shares out an account's quota."""
        chosen = choose_homes(self._membership.view, f'quota/{account}')
        if not chosen:
            return None
        return QuotaHome(chosen[0].name, chosen[0].peers)

    def is_order_writer(self, server: str) -> bool:
        """Say whether this daemon sends the orders to a backend server."""
        chosen = choose_homes(self._membership.view, f'order/{server}')
        return bool(chosen) and chosen[0].name == self._membership.own.name

    def daemon_names(self) -> tuple[str, ...]:
        """Return the names of all live daemons."""
        return tuple(
            member.name
            for member in self._membership.view.members_by_name.values()
            if member.is_alive
        )
