"""Paces of machines whose servers have ended, for those that start there."""

from __future__ import annotations

import dataclasses

from ..config import BackendServer
from ..utils import Address
from .event_pace import PaceSample

__all__ = ['FormerPaces', 'Machine']

#: Samples that a former pace counts for at most; those of the new server soon
#: outweigh it if its machine is another one.
_MAX_WEIGHT = 5
_MAX_MACHINES = 1024


@dataclasses.dataclass(frozen=True)
class Machine:
    """
    Machine that runs servers of a service, one after the other.

    :param service: name of the service or model.
    :param address: address of the servers.
    """

    service: str
    address: Address

    @classmethod
    def from_server(cls, server: BackendServer) -> Machine:
        """Return the machine of a server."""
        return cls(server.service_name, server.address)


class FormerPaces:
    """
    Last known paces of machines whose servers have ended.

    A server that starts again mostly has another name, but the same machine.
    """

    def __init__(self) -> None:
        self._paces_by_machine: dict[Machine, dict[str, PaceSample]] = {}

    def keep(self, machine: Machine, kind: str, pace: PaceSample) -> None:
        """
        Keep the pace of a server that has ended.

        :param machine: machine of the server.
        :param kind: route of plain calls, empty for the events of streams.
        :param pace: last known pace.
        """
        paces = self._paces_by_machine.setdefault(machine, {})
        weight = min(pace.weight, _MAX_WEIGHT)
        paces[kind] = dataclasses.replace(pace, weight=weight)
        if len(self._paces_by_machine) > _MAX_MACHINES:
            self._paces_by_machine.pop(next(iter(self._paces_by_machine)))

    def take(self, machine: Machine) -> dict[str, PaceSample]:
        """Return and remove the paces of a machine, by kind."""
        return self._paces_by_machine.pop(machine, {})
