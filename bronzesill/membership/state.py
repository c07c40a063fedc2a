"""State of the membership protocol on one daemon."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import field

from .events import Action
from .members import Liveness, Member
from .messages import GossipUpdates
from .view import FleetView

__all__ = ['GossipPolicy', 'GossipState', 'Probe', 'Step']


@dataclasses.dataclass(frozen=True)
class GossipPolicy:
    """
    Parameters of the membership protocol.

    :param period_s: seconds between two probes.
    :param direct_timeout_s: seconds without an ``Ack`` before indirect
        probes are requested.
    :param gone_after_s: seconds for which a member may stay ``SUSPECT``
        before it becomes ``GONE``.
    :param forget_after_s: seconds after which a ``GONE`` member is removed.
    :param indirect_probes: number of members that are asked to probe a
        silent member.
    :param push_fanout: number of members to which an update is pushed.
    :param piggyback_count: number of probe datagrams that carry an update.
    :param max_updates: maximum number of updates selected for a datagram;
        larger batches are neither pushed nor piggybacked.
    :param pause_s: seconds between two ticks above which this process is
        taken to have been paused.
    :param pushes_per_s: average rate limit of push datagrams, per second.
    :param pushes_burst: size of the token bucket for push datagrams.
    """

    period_s: float = 1
    direct_timeout_s: float = 0.35
    gone_after_s: float = 8
    forget_after_s: float = 3600
    indirect_probes: int = 3
    push_fanout: int = 4
    piggyback_count: int = 6
    max_updates: int = 12
    pause_s: float = 0.7
    pushes_per_s: float = 6
    pushes_burst: float = 24


@dataclasses.dataclass(frozen=True)
class Probe:
    """
    An outstanding probe that has not been acknowledged.

    :param target: name of the probed member.
    :param sequence: sequence number of the probe.
    :param started_at_s: monotonic time of the direct ping, in seconds.
    :param is_indirect: whether indirect probes were requested.
    """

    target: str
    sequence: int
    started_at_s: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True)
class GossipState:
    """
    Immutable protocol state of one daemon; times are monotonic seconds.

    :param own: member record of this daemon.
    :param policy: protocol parameters.
    :param view: members and facts known to this daemon.
    :param probe_queue: names of members still to be probed in this round;
        the last one is next.
    :param probe: the outstanding probe, ``None`` if there is none.
    :param sequence: sequence number of the last probe.
    :param next_probe_at_s: time at which the next probe is due.
    :param last_tick_at_s: time of the last tick.
    :param unreachable_since_s_by_name: time at which a member last became
        ``SUSPECT`` or ``GONE``; ``ALIVE`` members are absent.
    :param transmissions_left_by_key: number of datagrams that will still
        carry each update.
    :param last_sync_at_s: time at which bucket hashes were last sent.
    :param push_budget: push datagrams that may be sent now.
    :param is_leaving: whether this daemon has published its planned stop.
    """

    own: Member
    policy: GossipPolicy = field(default_factory=GossipPolicy)
    view: FleetView = field(default_factory=FleetView)
    probe_queue: tuple[str, ...] = ()
    probe: Probe | None = None
    sequence: int = 0
    next_probe_at_s: float = 0
    last_tick_at_s: float = 0
    unreachable_since_s_by_name: Mapping[str, float] = field(
        default_factory=dict
    )
    transmissions_left_by_key: Mapping[str, int] = field(default_factory=dict)
    last_sync_at_s: float = 0
    push_budget: float = 24
    is_leaving: bool = False

    @classmethod
    def from_member(
        cls, own: Member, policy: GossipPolicy, now_s: float
    ) -> GossipState:
        """Create the initial state, whose view holds only this daemon."""
        view = FleetView().merge(GossipUpdates((own,))).view
        return cls(
            own, policy, view, next_probe_at_s=now_s, last_tick_at_s=now_s
        )

    def other_members(self, max_liveness: Liveness) -> tuple[Member, ...]:
        """Return the other members whose liveness is at most the given one."""
        return tuple(
            member
            for member in self.view.members_by_name.values()
            if member.liveness <= max_liveness and member.name != self.own.name
        )


@dataclasses.dataclass(frozen=True)
class Step:
    """
    Result of processing an event.

    :param state: the new state.
    :param actions: actions to perform, in order.
    """

    state: GossipState
    actions: tuple[Action, ...] = ()

    def followed_by(self, following: Step) -> Step:
        """Return the later state with the actions of both steps, in order."""
        return Step(following.state, self.actions + following.actions)
