"""Merge and validate a base configuration and its site overlay."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import yaml

from ..utils import DocumentInvalid, structure
from .document import Document

__all__ = ['build_document', 'merge_overlay', 'parse_yaml']

_SHA256_HEX_CHARS = 64

# The C loader parses large documents ten times faster than the Python one.
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def parse_yaml(text: str, label: str) -> dict[str, Any]:
    """
    Parse a YAML mapping; empty text gives an empty one.

    :param text: the YAML text.
    :param label: name of the file, used in error messages.
    :raises DocumentInvalid: if the text is not a YAML mapping.
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
    """
    Apply an overlay to a base mapping and return the result.

    Mappings are merged recursively, a null value removes the key, and any
    other value replaces the one in the base.

    :param base: base mapping, which is not modified.
    :param overlay: values that take precedence.
    """
    merged = dict(base)
    for key, overlay_value in overlay.items():
        base_value = merged.get(key)
        if overlay_value is None:
            merged.pop(key, None)
        elif isinstance(overlay_value, dict) and isinstance(base_value, dict):
            merged[key] = merge_overlay(base_value, overlay_value)
        else:
            merged[key] = overlay_value
    return merged


def build_document(base: str, overlay: str) -> Document:
    """
    Build and validate the configuration of a site.

    :param base: YAML text of the base file.
    :param overlay: YAML text of the site's overlay.
    :raises DocumentInvalid: if the result is invalid; lists every error with
        its path in the document.
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
