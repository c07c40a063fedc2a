"""Base file and site overlay: merge, check, build."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import yaml

from ..utils import DocumentInvalid, structure
from .document import Document

__all__ = ['build_document', 'merge_overlay', 'parse_yaml']

_SHA256_HEX_CHARS = 64

# The loader written in C reads a large document ten times as fast.
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def parse_yaml(text: str, label: str) -> dict[str, Any]:
    """
    Parse a YAML map.

    :param text: the YAML text.
    :param label: name of the file, for faults.
    :raises DocumentInvalid: the text is not a YAML map.
    """
    try:
        document = yaml.load(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        raise DocumentInvalid((f'{label}: not YAML: {error}',)) from error
    if document is None:
        return {}
    if not isinstance(document, dict):
        raise DocumentInvalid((f'{label}: expected a map @ $',))
    return document


def merge_overlay(
    base: dict[str, Any], overlay: dict[str, Any]
) -> dict[str, Any]:
    """Lay an overlay over a base: maps merge, null removes, else replaces."""
    merged = dict(base)
    for key, above in overlay.items():
        below = merged.get(key)
        if above is None:
            merged.pop(key, None)
        elif isinstance(above, dict) and isinstance(below, dict):
            merged[key] = merge_overlay(below, above)
        else:
            merged[key] = above
    return merged


def build_document(base: str, overlay: str) -> Document:
    """
    Build the configuration of a site from its two files.

    :param base: YAML text of the base file.
    :param overlay: YAML text of the site's overlay.
    :raises DocumentInvalid: with every fault and its path.
    """
    merged = merge_overlay(
        parse_yaml(base, 'base'), parse_yaml(overlay, 'overlay')
    )
    document = structure(merged, Document)
    faults = tuple(_find_faults(document))
    if faults:
        raise DocumentInvalid(faults)
    return document


def _find_faults(document: Document) -> Iterator[str]:
    yield from _find_key_faults(document)
    yield from _find_server_faults(document)
    yield from _find_route_faults(document)
    weight = document.preferences.resume_latency_weight
    if not 0 <= weight <= 1:
        yield 'expected 0 to 1 @ $.preferences.resume_latency_weight'


def _find_key_faults(document: Document) -> Iterator[str]:
    for name, account in document.accounts.items():
        if len(account.key_sha256) != _SHA256_HEX_CHARS:
            yield f'expected 64 digits @ $.accounts.{name}.key_sha256'
        if account.weight < 1:
            yield f'expected 1 or more @ $.accounts.{name}.weight'
    for name, operator in document.operators.items():
        if len(operator.key_sha256) != _SHA256_HEX_CHARS:
            yield f'expected 64 digits @ $.operators.{name}.key_sha256'


def _find_server_faults(document: Document) -> Iterator[str]:
    for name, server in document.servers.items():
        path = f'$.servers.{name}'
        if bool(server.model) == bool(server.service):
            yield f'expected either model or service @ {path}'
        if server.model and server.model not in document.models:
            yield f'unknown model {server.model} @ {path}.model'
        if server.capacity < 1:
            yield f'expected 1 or more @ {path}.capacity'


def _find_route_faults(document: Document) -> Iterator[str]:
    services = {server.service for server in document.servers.values()}
    for name, route in document.routes.items():
        if route.service not in services:
            yield f'unknown service @ $.routes.{name}.service'
        if not route.path.startswith('/') or route.path.startswith('/v1/'):
            yield f'expected a path outside /v1/ @ $.routes.{name}.path'
