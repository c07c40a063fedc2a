"""Exchange of replicated entries between daemons."""

from __future__ import annotations

from ..store import Snapshot
from .messages import FetchReplica, ReplicaAnswer, ReplicaEntry
from .state import MergeResult, Replica, merge, merge_snapshot

__all__ = ['answer_fetch', 'merge_answer']


def answer_fetch(
    replica: Replica, request: FetchReplica, *, is_store_reachable: bool
) -> ReplicaAnswer:
    """
    Return what a requesting daemon lacks.

    All existing keys are returned if removals since the requested revision
    may not be known, as after a new era of the store.

    :param replica: replica of the answering daemon.
    :param request: revision that the requesting daemon has.
    :param is_store_reachable: whether the store answers this daemon.
    """
    is_snapshot = request.after < replica.complete_from
    entries = (
        replica.to_snapshot().entries
        if is_snapshot
        else replica.changed_since(request.after)
    )
    return ReplicaAnswer(
        tuple(ReplicaEntry.from_stored(entry) for entry in entries),
        replica.last_revision,
        is_snapshot,
        is_store_reachable,
    )


def merge_answer(replica: Replica, answer: ReplicaAnswer) -> MergeResult:
    """
    Merge the answer of a peer.

    :raises zlib.error: an entry cannot be decompressed.
    """
    entries = tuple(entry.to_stored() for entry in answer.entries)
    if answer.is_snapshot:
        return merge_snapshot(replica, Snapshot(entries, answer.revision))
    return merge(replica, entries)
