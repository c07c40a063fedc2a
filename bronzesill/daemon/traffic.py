"""Selection of versions, and observations of the versions in use."""

from __future__ import annotations

import time

from ..calls import CallResult
from ..config import Document
from ..generations import AttemptObservation, GenerationRequest
from ..moves import MovesController, Observation
from ..routing import ServerTracker, TrafficSplit, pick_version

__all__ = ['TrafficController']


class TrafficController:
    """
    Derives traffic splits from the configuration and the traffic moves.

    It also records the outcome of requests for the comparison of versions.

    :param moves: controller of traffic moves.
    :param tracker: state of the backend servers.
    """

    def __init__(self, moves: MovesController, tracker: ServerTracker) -> None:
        self.document: Document | None = None
        self._moves = moves
        self._tracker = tracker

    def model_split(self, model: str) -> TrafficSplit:
        """Return the current traffic split of a model."""
        entry = self.document.models.get(model) if self.document else None
        configured = entry.version if entry else ''
        return self._moves.move_table.split(model, configured, time.time())

    def service_split(self, service: str) -> TrafficSplit:
        """
        Return the current traffic split of a plain service.

        Without a move, all versions in the configuration serve it.
        """
        document = self.document
        entry = document.services.get(service) if document else None
        configured = entry.version if entry else ''
        return self._moves.move_table.split(service, configured, time.time())

    def serving_version(self, subject: str) -> str:
        """Return the version serving a subject, never one under trial."""
        document = self.document
        if document is not None and subject in document.models:
            return self.model_split(subject).old_version
        return self.service_split(subject).old_version

    def pick_version(self, request: GenerationRequest, is_retry: bool) -> str:
        """
        Return the version for a request without a partial answer.

        :param request: the request.
        :param is_retry: whether an earlier attempt was lost; the version
            under trial is not used then.
        """
        split = self.model_split(request.model)
        if is_retry:
            return split.old_version
        return pick_version(split, request.request_id)

    def split_of_server(self, model: str, service: str) -> TrafficSplit:
        """
        Return the traffic split that applies to a backend server.

        :param model: model of the server, empty for a plain service.
        :param service: service of the server.
        """
        if model:
            return self.model_split(model)
        return self.service_split(service)

    def record_attempt(self, observation: AttemptObservation) -> None:
        """Record the progress or the end of an attempt at a generation."""
        self._moves.observations.add(
            Observation(
                subject=observation.request.model,
                route=observation.request.route,
                server=observation.server,
                version=observation.request.version,
                is_end=observation.is_end,
                is_failed=observation.is_failed,
                first_token_s=observation.first_token_s,
                token_gap_s=observation.token_gap_s,
            )
        )

    def record_call(self, result: CallResult) -> None:
        """Record the outcome of a call to a plain service."""
        server = self._tracker.servers_by_name.get(result.server)
        if server is not None:
            self._moves.observations.add(
                Observation(
                    subject=result.service,
                    route=result.route,
                    server=result.server,
                    version=server.version,
                    is_end=True,
                    is_failed=result.is_failed,
                    first_token_s=None
                    if result.is_failed
                    else result.latency_s,
                )
            )
