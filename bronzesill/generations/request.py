"""Request for a generation, after validation."""

from __future__ import annotations

import dataclasses

from ..upstream import ForwardRequest

__all__ = ['GenerationRequest']


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """
    Validated request for a generation.

    :param request_id: request id chosen by the caller or generated here.
    :param generation_id: identifier of the generation that answers it.
    :param account: client account of the caller.
    :param model: name of the model.
    :param version: backend server version that computes the answer.
    :param prompt: text to continue.
    :param seed: seed passed to the engine.
    :param max_tokens: length of the answer in tokens.
    :param deadline_s: seconds after which an incomplete answer fails.
    :param can_reconnect: whether the caller chose the request id and can
        therefore request the same answer again.
    :param route: API of the request: ``chat``, ``text`` or the name of the
        route.
    :param forward: original request if it is forwarded unchanged, or None.
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
        """Upper bound of the run's memory in tokens, 0 if unknown."""
        if self.forward is None:
            return 0
        caller = self.forward.caller
        return caller.prompt_tokens + caller.max_output_tokens

    @property
    def size_class(self) -> str:
        """Name of the class of requests of about this size."""
        # Sizes within a factor of four are of one class.
        return str(self.memory_tokens.bit_length() // 2)

    @property
    def shared_prompt_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may contain too."""
        if self.forward is None:
            return ()
        return self.forward.caller.shared_prompt_parts

    @property
    def key(self) -> str:
        """Client account and request id, unique across client accounts."""
        return f'{self.account}/{self.request_id}'

    def stream_id(self, attempt: int) -> str:
        """Return the identifier of an attempt's stream at the engine."""
        return f'{self.generation_id}.{attempt}'
