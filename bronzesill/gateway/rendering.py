"""Rendering of answers in the completions format of stock clients."""

from __future__ import annotations

import dataclasses
import time
from typing import Any

import orjson

from ..generations import GenerationRequest
from ..utils import BronzesillError, chain_digest

__all__ = ['AnswerRenderer', 'EventPosition', 'render_error']

_DONE = b'data: [DONE]\n\n'


@dataclasses.dataclass(frozen=True)
class EventPosition:
    """
    Position of a caller in an answer, from the id of the last event received.

    :param generation_id: id of the generation, empty if nothing was received.
    :param offset: number of tokens that the caller has received.
    :param digest: digest chained over these tokens.
    """

    generation_id: str = ''
    offset: int = 0
    digest: int = 0

    @classmethod
    def from_header(cls, header: str | None) -> EventPosition:
        """
        Parse ``Last-Event-ID``.

        :param header: value of the header, ``None`` or empty for the start.
        :raises ValueError: the value is not an event id of ``AnswerRenderer``.
        """
        if not header:
            return cls()
        generation_id, offset, digest = header.split(':')
        return cls(generation_id, int(offset), int(digest, 16))


class AnswerRenderer:
    """
    Renders one answer as a text completion or a chat completion.

    :param request: the request that is answered.
    :param is_chat: whether to render a chat completion.
    :param position: position after which the caller resumes.
    """

    def __init__(
        self,
        request: GenerationRequest,
        *,
        is_chat: bool,
        position: EventPosition,
    ) -> None:
        self._request = request
        self._is_chat = is_chat
        self._offset = position.offset
        self._digest = position.digest
        object_type = 'chat.completion.chunk' if is_chat else 'text_completion'
        head = {**self._envelope(object_type), 'choices': 0}
        self._prefix = orjson.dumps(head)[:-2]

    def tokens(self, tokens: tuple[str, ...]) -> bytes:
        """Render tokens as one server-sent event each."""
        return b''.join(self._render_token(token) for token in tokens)

    def end(self, total: int, reason: str) -> bytes:
        """
        Render the last event and the end marker of a stream.

        :param total: number of tokens of the answer.
        :param reason: finish reason.
        """
        choice = self._render_choice('', reason)
        usage = orjson.dumps(_usage(total))
        return b'id: %b\ndata: %b[%b],"usage":%b}\n\n%b' % (
            self._event_id(),
            self._prefix,
            orjson.dumps(choice),
            usage,
            _DONE,
        )

    def render_complete(self, text: str, total: int, reason: str) -> bytes:
        """
        Render an answer that is not streamed.

        :param text: text of the answer.
        :param total: number of tokens of the answer.
        :param reason: finish reason.
        """
        if self._is_chat:
            message = {'role': 'assistant', 'content': text}
            choice: dict[str, Any] = {
                'index': 0,
                'message': message,
                'finish_reason': reason,
            }
            head = self._envelope('chat.completion')
        else:
            choice = {'index': 0, 'text': text, 'finish_reason': reason}
            head = self._envelope('text_completion')
        return orjson.dumps(
            {**head, 'choices': [choice], 'usage': _usage(total)}
        )

    def _envelope(self, object_type: str) -> dict[str, Any]:
        return {
            'id': self._request.generation_id,
            'object': object_type,
            'created': int(time.time()),
            'model': self._request.model,
        }

    def _render_token(self, token: str) -> bytes:
        self._offset += 1
        self._digest = chain_digest(self._digest, (token,))
        return b'id: %b\ndata: %b[%b]}\n\n' % (
            self._event_id(),
            self._prefix,
            orjson.dumps(self._render_choice(token, None)),
        )

    def _render_choice(self, text: str, reason: str | None) -> dict[str, Any]:
        if self._is_chat:
            delta = {'role': 'assistant', 'content': text}
            return {'index': 0, 'delta': delta, 'finish_reason': reason}
        return {'index': 0, 'text': text, 'finish_reason': reason}

    def _event_id(self) -> bytes:
        return b'%b:%d:%x' % (
            self._request.generation_id.encode(),
            self._offset,
            self._digest,
        )


def render_error(error: BronzesillError) -> bytes:
    """Render an error as the JSON object that stock clients expect."""
    fields = {
        'message': error.message,
        'type': error.code.name.lower(),
        'param': None,
        'code': str(int(error.code)),
    }
    return orjson.dumps({'error': fields})


def _usage(total: int) -> dict[str, int]:
    return {
        'prompt_tokens': 0,
        'completion_tokens': total,
        'total_tokens': total,
    }
