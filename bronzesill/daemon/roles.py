"""Assignment of roles to daemons, computed from the view of the fleet."""

from __future__ import annotations

from ..calls.ledger_client import Owner
from ..generations.peer_directory import HomeDaemon
from ..limits.quota_controller import QuotaCoordinator
from ..membership import (
    MembershipController,
    choose_entries,
    choose_replicas,
    is_watcher,
)
from ..moves import Driver, find_drivers, find_others
from ..utils import Address

__all__ = ['RoleFinder']

_MAX_ENTRIES = 3


class RoleFinder:
    """
    Chooses the daemons of each role.

    Rendezvous hashing over the live daemons makes daemons with the same view
    choose the same ones.

    :param membership: this daemon's view of the fleet.
    """

    def __init__(self, membership: MembershipController) -> None:
        self._membership = membership

    def should_watch(self) -> bool:
        """Return whether this daemon is one of those that watch the store."""
        return is_watcher(self._membership.view, self._membership.own)

    def entries(self, caller: str) -> tuple[Address, ...]:
        """Return the addresses that a caller should use, best first."""
        chosen = choose_entries(
            self._membership.view, self._membership.own, caller, _MAX_ENTRIES
        )
        return tuple(member.callers for member in chosen)

    def location_replicas(self, request_key: str) -> tuple[HomeDaemon, ...]:
        """Return the daemons that store the location record of a request."""
        chosen = choose_replicas(self._membership.view, request_key)
        return tuple(HomeDaemon(member.name, member.peers) for member in chosen)

    def owners(self, partition: str) -> tuple[Owner, ...]:
        """Return the owners of a ledger partition, first choice first."""
        chosen = choose_replicas(self._membership.view, partition)
        return tuple(Owner(member.name, member.peers) for member in chosen)

    def drivers(self, move_id: str) -> tuple[Driver, ...]:
        """Return the daemons that drive a move, first choice first."""
        return find_drivers(self._membership.view, move_id)

    def other_daemons(self) -> tuple[Driver, ...]:
        """Return the other live daemons."""
        return find_others(self._membership.view, self._membership.own.name)

    def quota_coordinator(self, account: str) -> QuotaCoordinator | None:
        """
        Return the daemon that distributes the quota of a client account.

        The result is none if no daemon is known to be alive.
        """
        chosen = choose_replicas(self._membership.view, f'quota/{account}')
        if not chosen:
            return None
        return QuotaCoordinator(chosen[0].name, chosen[0].peers)

    def is_order_writer(self, server: str) -> bool:
        """Return whether this daemon sends orders to a backend server."""
        chosen = choose_replicas(self._membership.view, f'order/{server}')
        return bool(chosen) and chosen[0].name == self._membership.own.name

    def daemon_names(self) -> tuple[str, ...]:
        """Return the names of all live daemons."""
        return tuple(
            member.name
            for member in self._membership.view.members_by_name.values()
            if member.is_alive
        )
