"""Heads of requests as callers on the platform write them."""

from __future__ import annotations

import dataclasses

from .hosted_fleet import HOSTED_KEY

__all__ = ['CallerHead']


@dataclasses.dataclass(frozen=True)
class CallerHead:
    """
    Head of a request.

    :param method: HTTP method.
    :param target: path of the request.
    :param host: host name of the route.
    :param request_id: id of the request.
    :param timeout_ms: time that the caller gives, in milliseconds.
    :param body_bytes: size of the body.
    :param is_chunked: whether the body comes in chunks.
    :param prompt_tokens: tokens of the prompt, 0 for a plain call.
    :param output_tokens: most tokens of the answer.
    :param key: API key of the client account.
    """

    method: str
    target: str
    host: str
    request_id: str
    timeout_ms: int
    body_bytes: int
    is_chunked: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    key: str = HOSTED_KEY

    def encode(self) -> bytes:
        """Return the head as HTTP/1.1, with its empty line."""
        lines = [
            f'{self.method} {self.target} HTTP/1.1',
            f'Host: {self.host}',
            f'X-Attempt-Id: {self.request_id}',
            f'X-Deadline-Ms: {self.timeout_ms}',
            f'Authorization: Bearer {self.key}',
            *self._prompt_lines(),
        ]
        if self.is_chunked:
            lines.append('Transfer-Encoding: chunked')
        elif self.body_bytes:
            lines.append(f'Content-Length: {self.body_bytes}')
        return '\r\n'.join((*lines, '', '')).encode()

    def _prompt_lines(self) -> tuple[str, ...]:
        if not self.prompt_tokens:
            return ()
        return (
            f'X-Token-Usage: {self.prompt_tokens},{self.output_tokens}',
            f'X-Prefix-Hash: {self.request_id}:{self.prompt_tokens}',
            'X-Model: m',
        )
