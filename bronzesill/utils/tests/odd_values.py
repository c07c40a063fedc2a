"""Strategies of documents, as another writer may have written them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

__all__ = [
    'FUZZ_SETTINGS',
    'ODD_VALUES',
    'every_mutation',
    'mutated',
    'nested',
]

#: The same examples in each run, in a second or so.
FUZZ_SETTINGS = settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)

_DIGITS = '9' * 400
#: The JSON encoder takes documents that are nested less deeply than 254.
_MAX_DEPTH = 200


def nested(depth: int) -> list[Any]:
    """Return lists within lists."""
    inner: list[Any] = []
    for _ in range(depth):
        inner = [inner]
    return inner


_ODD: tuple[Any, ...] = (
    None,
    True,
    False,
    0,
    -1,
    1,
    65535,
    65536,
    2**31,
    2**53,
    2**63 - 1,
    2**64 - 1,
    -(2**63),
    1e300,
    -1e300,
    1e-300,
    0.5,
    -0.0,
    '',
    ' ',
    'a\r\nX-Tenant: b',
    '\u0000',
    '\u540d',
    '10.0.0.1',
    '10.0.0.1:0',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '[::1]:80',
    '::1:80',
    ':80',
    '1e400',
    'NaN',
    _DIGITS,
    f'10.0.0.1:{_DIGITS}',
    'x' * 100_000,
    [],
    {},
    [[]],
    {'': {}},
    [None],
    nested(_MAX_DEPTH),
)

ODD_VALUES: st.SearchStrategy[Any] = st.one_of(
    st.sampled_from(_ODD),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
)


def every_mutation(document: Any) -> Iterator[Any]:
    """
    Yield the document with each of its values replaced by each odd one.

    :param document: valid document of maps and lists.
    """
    for path in _paths(document):
        yield _removed(document, path)
        for value in _ODD:
            yield _replaced(document, path, value)


@st.composite
def mutated(draw: st.DrawFn, document: Any) -> Any:
    """
    Return a document with two or three of its values replaced.

    :param draw: draws values.
    :param document: valid document of maps and lists.
    """
    changed = document
    for _ in range(draw(st.integers(2, 3))):
        path = draw(st.sampled_from(_paths(changed)))
        changed = _replaced(changed, path, draw(ODD_VALUES))
    return changed


def _paths(node: Any) -> list[tuple[Any, ...]]:
    """Return the places of all values, each as keys and indices."""
    steps: Iterable[tuple[Any, Any]] = ()
    if isinstance(node, dict):
        steps = node.items()
    elif isinstance(node, list):
        steps = enumerate(node)
    return [
        (),
        *((step, *path) for step, inner in steps for path in _paths(inner)),
    ]


def _replaced(node: Any, path: tuple[Any, ...], value: Any) -> Any:
    if not path:
        return value
    step, *rest = path
    copied = node.copy()
    copied[step] = _replaced(node[step], tuple(rest), value)
    return copied


def _removed(node: Any, path: tuple[Any, ...]) -> Any:
    if not path:
        return {}
    step, *rest = path
    copied = node.copy()
    if rest:
        copied[step] = _removed(node[step], tuple(rest))
    else:
        copied.pop(step)
    return copied
