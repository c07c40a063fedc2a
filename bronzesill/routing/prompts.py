"""Which engine still holds the prompt of a stream that a caller resumes."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ['choose_prompt_holder']


def choose_prompt_holder(
    prompt_part: str, tokens_by_part_by_server: Mapping[str, Mapping[str, int]]
) -> str:
    """
    Return the server that holds most of a prompt, empty if none holds any.

    :param prompt_part: id of the part that only this prompt contains; the
        parts before it are held by servers of other prompts too.
    :param tokens_by_part_by_server: tokens of each part that each server
        holds.
    """
    tokens_by_server = {
        server: tokens_by_part.get(prompt_part, 0)
        for server, tokens_by_part in tokens_by_part_by_server.items()
    }
    holders = [name for name, tokens in tokens_by_server.items() if tokens]
    return max(holders, key=tokens_by_server.__getitem__, default='')
