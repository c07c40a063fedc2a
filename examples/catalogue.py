"""Generates a bead-pattern catalogue of about 3,000 words as a prompt."""

from __future__ import annotations

from random import Random

__all__ = ['write_catalogue']

_PATTERNS = 108
_SHAPES = ('barrel', 'cone', 'tube', 'saucer', 'bicone', 'spool')
_PAPERS = ('kraft', 'mulberry', 'map', 'newsprint', 'calendar', 'wallpaper')
_FINISHES = ('matt varnish', 'gloss varnish', 'beeswax', 'no finish')


def _describe_pattern(number: int, random: Random) -> str:
    return (
        f'Pattern {number}: a {random.choice(_SHAPES)} bead of '
        f'{random.choice(_PAPERS)} paper, strip {random.randint(4, 30)} mm '
        f'wide at the foot and {random.randint(90, 420)} mm long, rolled on '
        f'a {random.randint(1, 4)} mm pin with {random.choice(_FINISHES)}.'
    )


def write_catalogue(seed: int) -> str:
    """
    Return a prompt: a request for rolling guides, then the catalogue.

    :param seed: seed of the random patterns; equal seeds give equal prompts.
    """
    random = Random(seed)
    patterns = [
        _describe_pattern(number, random) for number in range(1, _PATTERNS + 1)
    ]
    request = 'Write a rolling guide for each pattern of this catalogue.'
    return '\n'.join((request, *patterns))
