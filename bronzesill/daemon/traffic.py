"""Which version serves what, and what is seen of versions."""

from __future__ import annotations

import time

from ..calls import CallSeen
from ..config import Document
from ..generations import AttemptSeen, GenerationRequest
from ..moves import MovesController, Observation
from ..routing import ServerBook, TrafficSplit, pick_version

__all__ = ['TrafficController']


class TrafficController:
    """
    Joins configuration and moves: splits of traffic, observations.

    :param moves: what is known of moves.
    :param book: what is known of the backend servers.
    """

    def __init__(self, moves: MovesController, book: ServerBook) -> None:
        self.document: Document | None = None
        self._moves = moves
        self._book = book

    def model_split(self, model: str) -> TrafficSplit:
        """Return how a model's traffic is split now."""
        known = self.document.models.get(model) if self.document else None
        configured = known.version if known else ''
        return self._moves.book.split(model, configured, time.time())

    def service_split(self, service: str) -> TrafficSplit:
        """
        Return how a plain service's traffic is split now.

        Without a move all versions in the configuration serve it.
        """
        document = self.document
        known = document.services.get(service) if document else None
        configured = known.version if known else ''
        return self._moves.book.split(service, configured, time.time())

    def serving_version(self, subject: str) -> str:
        """Return the version that serves a subject, new ones left out."""
        document = self.document
        if document is not None and subject in document.models:
            return self.model_split(subject).old_version
        return self.service_split(subject).old_version

    def pick_version(self, request: GenerationRequest, is_retry: bool) -> str:
        """
        Return the version that answers a request not yet begun.

        :param request: the request.
        :param is_retry: whether an attempt was lost before; then the
            version under trial is not tried again.
        """
        split = self.model_split(request.model)
        if is_retry:
            return split.old_version
        return pick_version(split, request.request_id)

    def split_of_server(self, model: str, service: str) -> TrafficSplit:
        """Return the split of the subject that a server belongs to."""
        if model:
            return self.model_split(model)
        return self.service_split(service)

    def note_attempt(self, seen: AttemptSeen) -> None:
        """Pass on how an attempt does."""
        self._moves.log.add(
            Observation(
                subject=seen.request.model,
                route=seen.request.route,
                server=seen.server,
                version=seen.request.version,
                is_end=seen.is_end,
                is_failed=seen.is_failed,
                first_token_s=seen.first_token_s,
                token_gap_s=seen.token_gap_s,
            )
        )

    def note_call(self, seen: CallSeen) -> None:
        """Pass on how a call to a plain service ended."""
        known = self._book.servers_by_name.get(seen.server)
        if known is not None:
            self._moves.log.add(
                Observation(
                    subject=seen.service,
                    route=seen.route,
                    server=seen.server,
                    version=known.version,
                    is_end=True,
                    is_failed=seen.is_failed,
                    first_token_s=None if seen.is_failed else seen.latency_s,
                )
            )
