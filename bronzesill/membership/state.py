"""State of the membership protocol on one daemon."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

from .events import Action
from .members import Liveness, Member
from .messages import Rumours
from .view import FleetView

__all__ = ['GossipPolicy', 'GossipState', 'Probe', 'Step']


@dataclasses.dataclass(frozen=True)
class GossipPolicy:
    """
    Times and counts of the protocol.

    :param period_s: seconds between two probes.
    :param direct_timeout_s: seconds until others are asked to probe.
    :param gone_after_s: seconds of suspicion after which a member is gone.
    :param forget_after_s: seconds after which a gone member is forgotten.
    :param indirect_probes: members asked to probe.
    :param push_fanout: members that get news at once.
    :param piggyback_count: times each news is sent along with probes.
    :param max_rumours: news in one datagram.
    :param pause_s: lateness of a tick that means this daemon was paused.
    :param pushes_per_s: datagrams of news a second at most, on average.
    :param pushes_burst: datagrams of news at once at most.
    """

    period_s: float = 1
    direct_timeout_s: float = 0.35
    gone_after_s: float = 8
    forget_after_s: float = 3600
    indirect_probes: int = 3
    push_fanout: int = 4
    piggyback_count: int = 6
    max_rumours: int = 12
    pause_s: float = 0.7
    pushes_per_s: float = 6
    pushes_burst: float = 24


@dataclasses.dataclass(frozen=True)
class Probe:
    """
    A probe that waits for a sign of life.

    :param target: name of the member that is probed.
    :param sequence: number of the probe.
    :param started_at_s: when it was sent.
    :param is_indirect: whether others were asked to probe too.
    """

    target: str
    sequence: int
    started_at_s: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True)
class GossipState:
    """
    All that decides what a daemon sends next.

    :param own: this daemon as it describes itself.
    :param policy: times and counts.
    :param view: what it believes of the fleet.
    :param to_probe: members still to be probed in this round.
    :param probe: the probe under way.
    :param sequence: number of the last probe.
    :param next_probe_at_s: when the next probe is due.
    :param ticked_at_s: time of the last tick.
    :param changed_at_s_by_name: when a member was last suspected or gone.
    :param sends_left_by_key: how often each news is still sent along.
    :param synced_at_s: when buckets were last compared.
    :param pushes_left: datagrams of news that may be sent now.
    """

    own: Member
    policy: GossipPolicy = field(default_factory=GossipPolicy)
    view: FleetView = field(default_factory=FleetView)
    to_probe: tuple[str, ...] = ()
    probe: Probe | None = None
    sequence: int = 0
    next_probe_at_s: float = 0
    ticked_at_s: float = 0
    changed_at_s_by_name: Mapping[str, float] = field(default_factory=dict)
    sends_left_by_key: Mapping[str, int] = field(default_factory=dict)
    synced_at_s: float = 0
    pushes_left: float = 24

    @classmethod
    def from_member(
        cls, own: Member, policy: GossipPolicy, now_s: float
    ) -> GossipState:
        """Begin with a view that holds only this daemon."""
        view = FleetView().merge(Rumours((own,))).view
        return cls(own, policy, view, next_probe_at_s=now_s, ticked_at_s=now_s)

    def others(self, most: Liveness) -> tuple[Member, ...]:
        """Return the other members up to a degree of silence."""
        return tuple(
            member
            for member in self.view.members_by_name.values()
            if member.liveness <= most and member.name != self.own.name
        )


@dataclasses.dataclass(frozen=True)
class Step:
    """
    What follows from an event.

    :param state: the state from now on.
    :param actions: what to do.
    """

    state: GossipState
    actions: tuple[Action, ...] = ()

    def then(self, after: Step) -> Step:
        """Join the actions of a following step to this one's."""
        return Step(after.state, self.actions + after.actions)
