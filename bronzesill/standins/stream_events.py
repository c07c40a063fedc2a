"""Server-sent events of the engine stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import orjson

from .batch import EngineProfile, EngineStream, StreamRequest

__all__ = ['parse_stream_request', 'read_stream', 'wait_while_paused']

_DONE_EVENT = b'data: [DONE]\n\n'


def parse_stream_request(body: dict[str, Any]) -> StreamRequest:
    """Build a stream request from the JSON body of a completion request."""
    return StreamRequest(
        stream_id=body['stream_id'],
        prompt=body['prompt'],
        seed=body['seed'],
        max_tokens=body['max_tokens'],
        accepted=tuple(body.get('accepted', ())),
        priority=body.get('priority', 0),
    )


async def wait_while_paused(profile: EngineProfile) -> None:
    """Wait until the injected pause of the engine is over."""
    pause_s = profile.paused_until_s - asyncio.get_running_loop().time()
    if pause_s > 0:
        await asyncio.sleep(pause_s)


async def read_stream(
    stream: EngineStream, offset: int, profile: EngineProfile
) -> AsyncIterator[bytes]:
    """
    Yield the server-sent events of a stream from a token offset to its end.

    :param stream: stream to read.
    :param offset: number of leading tokens of the answer to skip.
    :param profile: profile of the engine; a pause delays the events.
    """
    stream.readers += 1
    try:
        while not stream.cancelled:
            progress = stream.progress
            await wait_while_paused(profile)
            chunk = _next_chunk(stream, offset)
            offset = stream.first_offset + len(stream.tokens)
            if chunk:
                yield chunk
            elif stream.is_done:
                yield _end_event(stream.request.stream_id, offset)
                return
            else:
                await progress.wait()
    finally:
        stream.readers -= 1


def _next_chunk(stream: EngineStream, offset: int) -> bytes:
    new_tokens = stream.tokens[offset - stream.first_offset :]
    return b''.join(
        _token_event(stream.request.stream_id, position, token)
        for position, token in enumerate(new_tokens, offset)
    )


def _event(fields: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % orjson.dumps(fields)


def _token_event(stream_id: str, offset: int, token: str) -> bytes:
    choice = {'index': 0, 'text': token, 'finish_reason': None}
    return _event({'id': stream_id, 'offset': offset, 'choices': [choice]})


def _end_event(stream_id: str, total: int) -> bytes:
    choice = {'index': 0, 'text': '', 'finish_reason': 'length'}
    usage = {'completion_tokens': total}
    fields = {'id': stream_id, 'offset': total, 'choices': [choice]}
    return b''.join((_event({**fields, 'usage': usage}), _DONE_EVENT))
