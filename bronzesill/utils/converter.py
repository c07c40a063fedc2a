"""Conversion of data classes to and from settings, wire messages and JSON."""

from __future__ import annotations

import enum
from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.preconf.json import make_converter

from .addresses import Address
from .errors import BronzesillError, ResultCode

__all__ = [
    'DocumentInvalid',
    'structure',
    'structure_fields',
    'structure_json',
    'unstructure',
    'unstructure_fields',
]

T = TypeVar('T')


class DocumentInvalid(ValueError):
    """
    Raised if a document does not match the expected data class.

    :param faults: one message per fault, each with its path in the document.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__('; '.join(faults))
        self.faults = faults


def _make_map_converter() -> cattrs.Converter:
    return _register_hooks(
        make_converter(forbid_extra_keys=True, omit_if_default=False)
    )


def _make_tuple_converter() -> cattrs.Converter:
    converter = _register_hooks(
        cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    )
    # Without it, a number is converted to as many bytes.
    converter.register_structure_hook(bytes, _structure_primitive)
    return converter


def _register_hooks(converter: cattrs.Converter) -> cattrs.Converter:
    converter.register_structure_hook(
        Address, lambda text, _: Address.from_text(_require_text(text))
    )
    converter.register_unstructure_hook(Address, str)
    for primitive in (int, float, str, bool):
        converter.register_structure_hook(primitive, _structure_primitive)
    converter.register_unstructure_hook(enum.IntEnum, int)
    return converter


def _require_text(raw: object) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'expected text, got {raw!r}')
    return raw


def _structure_primitive(raw: object, primitive: type) -> object:
    accepted = (int, float) if primitive is float else (primitive,)
    is_unexpected_bool = isinstance(raw, bool) and primitive is not bool
    if is_unexpected_bool or not isinstance(raw, accepted):
        raise TypeError(f'expected {primitive.__name__}, got {raw!r}')
    return primitive(raw)


_MAP_CONVERTER = _make_map_converter()
_TUPLE_CONVERTER = _make_tuple_converter()


def _describe_fault(fault: BaseException, expected_type: type | None) -> str:
    if isinstance(fault, cattrs.errors.ForbiddenExtraKeysError):
        names = ', '.join(sorted(fault.extra_fields))
        return f'unknown field: {names}'
    if isinstance(fault, KeyError):
        return f'required field missing: {fault.args[0]}'
    return str(fault) or type(fault).__name__


def structure(document: object, data_class: type[T]) -> T:
    """
    Build a data class instance from mappings and lists.

    :param document: parsed YAML, JSON or msgpack.
    :param data_class: data class to build.
    :raises DocumentInvalid: if the document does not match; lists all
        faults rather than only the first one.
    """
    try:
        return _MAP_CONVERTER.structure(document, data_class)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = cattrs.transform_error(error, format_exception=_describe_fault)
        raise DocumentInvalid(tuple(sorted(faults))) from error


def structure_json(raw: bytes, data_class: type[T]) -> T:
    """
    Build a data class instance from JSON read from the store.

    :param raw: JSON text.
    :param data_class: data class to build.
    :raises BronzesillError: ``DOCUMENT_INVALID`` if ``raw`` is not valid JSON
        or does not match ``data_class``.
    """
    try:
        return structure(orjson.loads(raw), data_class)
    except ValueError as error:
        raise BronzesillError(
            ResultCode.DOCUMENT_INVALID,
            f'invalid {data_class.__name__} document: {error}',
        ) from error


def unstructure(instance: object) -> Any:
    """Convert a data class instance to mappings, lists and scalars."""
    return _MAP_CONVERTER.unstructure(instance)


def structure_fields(fields: object, data_class: type[T]) -> T:
    """
    Build a data class instance from the sequence of its field values.

    Omitted trailing fields take their defaults.  Surplus trailing fields are
    ignored, so that messages of newer senders can be decoded.

    :param fields: sequence as returned by :func:`unstructure_fields`.
    :param data_class: data class to build.
    :raises DocumentInvalid: if a value does not match its field, or a field
        without a default is omitted.
    """
    try:
        return _TUPLE_CONVERTER.structure(fields, data_class)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise DocumentInvalid((f'{data_class.__name__}: {error}',)) from error


def unstructure_fields(instance: object) -> Any:
    """Convert a data class instance to a sequence of values, recursively."""
    return _TUPLE_CONVERTER.unstructure(instance)
