"""One ``cattrs`` converter for settings, wire messages and JSON."""

from __future__ import annotations

import enum
from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.preconf.json import make_converter

from .addresses import Address
from .codes import ResultCode
from .errors import BronzesillError

__all__ = [
    'DocumentInvalid',
    'structure',
    'structure_fields',
    'structure_json',
    'unstructure',
    'unstructure_fields',
]

Shape = TypeVar('Shape')


class DocumentInvalid(ValueError):
    """
    A document does not have the expected shape.

    :param faults: one line per fault, each with its path in the document.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__('; '.join(faults))
        self.faults = faults


def _make_map_converter() -> cattrs.Converter:
    return _with_hooks(
        make_converter(forbid_extra_keys=True, omit_if_default=False)
    )


def _make_tuple_converter() -> cattrs.Converter:
    return _with_hooks(
        cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    )


def _with_hooks(converter: cattrs.Converter) -> cattrs.Converter:
    converter.register_structure_hook(
        Address, lambda text, _: Address.from_text(_require_text(text))
    )
    converter.register_unstructure_hook(Address, str)
    for plain in (int, float, str, bool):
        converter.register_structure_hook(plain, _structure_plain)
    converter.register_unstructure_hook(enum.IntEnum, int)
    return converter


def _require_text(raw: object) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'expected text, got {raw!r}')
    return raw


def _structure_plain(raw: object, plain: type) -> object:
    accepted = (int, float) if plain is float else (plain,)
    is_stray_bool = isinstance(raw, bool) and plain is not bool
    if is_stray_bool or not isinstance(raw, accepted):
        raise TypeError(f'expected {plain.__name__}, got {raw!r}')
    return plain(raw)


_MAP_CONVERTER = _make_map_converter()
_TUPLE_CONVERTER = _make_tuple_converter()


def _describe(fault: BaseException, shape: type | None) -> str:
    if isinstance(fault, cattrs.errors.ForbiddenExtraKeysError):
        names = ', '.join(sorted(fault.extra_fields))
        return f'unknown field: {names}'
    if isinstance(fault, KeyError):
        return f'required field missing: {fault.args[0]}'
    return str(fault) or type(fault).__name__


def structure(document: object, shape: type[Shape]) -> Shape:
    """
    Build a frozen data class from plain maps and lists.

    :param document: parsed YAML, JSON or msgpack.
    :param shape: the data class to build.
    :raises DocumentInvalid: with every fault found, not the first only.
    """
    try:
        return _MAP_CONVERTER.structure(document, shape)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = cattrs.transform_error(error, format_exception=_describe)
        raise DocumentInvalid(tuple(sorted(faults))) from error


def structure_json(raw: bytes, shape: type[Shape]) -> Shape:
    """
    Build a frozen data class from JSON that the store keeps.

    :param raw: the JSON text.
    :param shape: the data class to build.
    :raises BronzesillError: ``DOCUMENT_INVALID``, it cannot be read.
    """
    try:
        return structure(orjson.loads(raw), shape)
    except ValueError as error:
        raise BronzesillError(
            ResultCode.DOCUMENT_INVALID,
            f'unreadable {shape.__name__}: {error}',
        ) from error


def unstructure(instance: object) -> Any:
    """Turn a data class into plain maps, lists, texts and numbers."""
    return _MAP_CONVERTER.unstructure(instance)


def structure_fields(fields: object, shape: type[Shape]) -> Shape:
    """
    Build a frozen data class from its fields in order.

    Fields that are left out take their defaults; fields beyond the last one
    are passed over, so that a newer sender is understood.

    :param fields: a sequence as :func:`unstructure_fields` gives it.
    :param shape: the data class to build.
    :raises DocumentInvalid: the fields do not fit.
    """
    try:
        return _TUPLE_CONVERTER.structure(fields, shape)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise DocumentInvalid((f'{shape.__name__}: {error}',)) from error


def unstructure_fields(instance: object) -> Any:
    """Turn a data class into its fields in order, nested ones too."""
    return _TUPLE_CONVERTER.unstructure(instance)
