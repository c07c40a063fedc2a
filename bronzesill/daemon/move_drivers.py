"""Choice of the daemons that drive a traffic move."""

from __future__ import annotations

from ..membership import FleetView, choose_replicas
from ..moves import Driver

__all__ = ['find_drivers']


def find_drivers(view: FleetView, move_id: str) -> tuple[Driver, ...]:
    """
    Return the daemons that drive a move, first choice first.

    :param view: a daemon's view of the fleet.
    :param move_id: identifier of the move.
    """
    chosen = choose_replicas(view, f'move/{move_id}')
    return tuple(Driver(member.name, member.peers) for member in chosen)
