"""What a caller asked for, as the generation keeps it."""

from __future__ import annotations

import dataclasses

from ..upstream import ForwardRequest

__all__ = ['GenerationRequest']


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """
    A checked request for a generation.

    :param request_id: name of the request, the caller's or our own.
    :param generation_id: name of the one generation that answers it.
    :param account: client account that asks.
    :param model: model to use.
    :param version: backend server version, fixed for the whole answer.
    :param prompt: text to continue.
    :param seed: seed handed to the engine.
    :param max_tokens: length of the answer in tokens.
    :param deadline_s: seconds after which it is given up.
    :param can_reconnect: whether the caller named the request itself.
    :param route: way in which it was asked for: ``chat``, ``text`` or the
        name of the route.
    :param forward: the request as it came if it is passed on as such.
    """

    request_id: str
    generation_id: str
    account: str
    model: str
    version: str
    prompt: str
    seed: int
    max_tokens: int
    deadline_s: float
    can_reconnect: bool = False
    route: str = 'text'
    forward: ForwardRequest | None = None

    @property
    def memory_tokens(self) -> int:
        """Memory that a run may need in tokens, 0 if not known."""
        if self.forward is None:
            return 0
        caller = self.forward.caller
        return caller.prompt_tokens + caller.max_output_tokens

    @property
    def key(self) -> str:
        """Name of the request, unique over all client accounts."""
        return f'{self.account}/{self.request_id}'

    def stream_id(self, attempt: int) -> str:
        """Return the name of an attempt's stream at the engine."""
        return f'{self.generation_id}.{attempt}'
