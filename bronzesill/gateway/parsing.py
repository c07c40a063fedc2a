"""Conversion of a completion request's fields to a generation request."""

from __future__ import annotations

import uuid
from typing import Any

from ..generations import GenerationRequest
from ..utils import BronzesillError, ResultCode, stable_hash
from .exchange import Exchange

__all__ = ['parse_generation']

_SEED_MASK = 0x7FFFFFFF
_DEFAULT_MAX_TOKENS = 256


def parse_generation(exchange: Exchange, route: str) -> GenerationRequest:
    """
    Validate the fields of a completion request.

    The seed defaults to a hash of the new generation id.

    :param exchange: request context after all filters.
    :param route: kind of completion, ``chat`` or ``text``.
    :raises BronzesillError: ``MODEL_UNKNOWN``, or ``FIELD_INVALID`` for a
        field that is missing or not valid.
    """
    fields = exchange.fields
    model = _field(exchange, 'model', str, None)
    if model not in exchange.document.models:
        raise BronzesillError(
            ResultCode.MODEL_UNKNOWN,
            f'not run: model {model!r} is not configured',
        )
    prompt = _prompt(fields)
    generation_id = f'gen-{uuid.uuid4().hex}'
    limits = exchange.document.limits
    max_tokens = _field(
        exchange,
        'max_tokens',
        int,
        fields.get('max_completion_tokens', _DEFAULT_MAX_TOKENS),
    )
    if not 0 < max_tokens <= limits.max_tokens:
        raise _invalid('max_tokens', f'from 1 to {limits.max_tokens}')
    default_seed = stable_hash(generation_id) & _SEED_MASK
    return GenerationRequest(
        request_id=exchange.request_id,
        generation_id=generation_id,
        account=exchange.account,
        model=model,
        version=exchange.document.models[model].version,
        prompt=prompt,
        seed=_field(exchange, 'seed', int, default_seed),
        max_tokens=max_tokens,
        deadline_s=limits.deadline_s,
        can_reconnect=exchange.has_caller_request_id,
        route=route,
    )


def _field(
    exchange: Exchange, name: str, expected_type: type, default: object
) -> Any:
    value = exchange.fields.get(name)
    if value is None:
        value = default
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise _invalid(name, expected_type.__name__)
    return value


def _prompt(fields: Any) -> str:
    prompt = fields.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _invalid('prompt', 'a string, or messages a non-empty list')
    return '\n'.join(_message_text(message) for message in messages)


def _message_text(message: object) -> str:
    if not isinstance(message, dict):
        raise _invalid('messages', 'a list of objects')
    role = message.get('role')
    text = message.get('content')
    if not isinstance(role, str) or not isinstance(text, str):
        raise _invalid('messages', 'objects with string role and content')
    return f'{role}: {text}'


def _invalid(name: str, expected: str) -> BronzesillError:
    return BronzesillError(
        ResultCode.FIELD_INVALID,
        f'not run: {name} must be {expected}',
    )
