"""
Conversion of data classes to and from settings, wire messages and JSON.

The functions that read one value bound what others may write: the store,
servers, callers and peers.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import re
import reprlib
from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.preconf.json import make_converter

from .addresses import Address
from .errors import BronzesillError, ResultCode

__all__ = [
    'MAX_INTEGER',
    'MAX_NUMBER',
    'DocumentInvalid',
    'parse_integer',
    'read_flag',
    'read_integer',
    'read_name',
    'read_number',
    'structure',
    'structure_fields',
    'structure_json',
    'unstructure',
    'unstructure_fields',
]

T = TypeVar('T')

#: Exceptions raised when a value does not match its data class.
_STRUCTURE_ERRORS = (
    cattrs.BaseValidationError,
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    RecursionError,
)

#: Largest integer that all JSON decoders read exactly.
MAX_INTEGER = 2**53 - 1
#: Largest number with a fraction; as seconds, some thirty million years.
MAX_NUMBER = 1e15

#: Largest integer that a message can contain.
_MAX_WIRE_INTEGER = 2**64 - 1

#: Names are sent in headers, so they must not contain spaces or line ends.
_NAME_PATTERN = re.compile(r'[\x21-\x7e]{1,256}')
_DIGITS_PATTERN = re.compile(rb'[0-9]{1,16}')


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
        cattrs.Converter(
            unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
            # The first fault is enough; a frame may hold millions of them.
            detailed_validation=False,
        )
    )
    # Without it, a number is converted to as many bytes.
    converter.register_structure_hook(bytes, _structure_primitive)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda data_class: (
            _FieldHooks(data_class, converter.get_structure_hook).read
        ),
    )
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass,
        lambda data_class: (
            _FieldHooks(data_class, converter.get_unstructure_hook).write
        ),
    )
    return converter


class _FieldHooks:
    """
    Hooks that convert the values of the fields of a data class, in order.

    The library would look up the fields again for each instance.

    :param data_class: data class of the instances.
    :param find_hook: returns the hook for a type.
    """

    def __init__(
        self, data_class: Any, find_hook: Callable[[Any], Any]
    ) -> None:
        self._data_class = data_class
        self._hooks = tuple(
            (field.name, field.type, find_hook(field.type))
            for field in dataclasses.fields(data_class)
        )

    def read(self, values: Any, _: object) -> Any:
        """Build an instance from a sequence; surplus values are ignored."""
        read = [
            hook(value, field_type)
            for (_name, field_type, hook), value in zip(
                self._hooks, values, strict=False
            )
        ]
        return self._data_class(*read)

    def write(self, instance: object) -> tuple[Any, ...]:
        """Return the converted values of an instance."""
        return tuple(
            [hook(getattr(instance, name)) for name, _type, hook in self._hooks]
        )


def _register_hooks(converter: cattrs.Converter) -> cattrs.Converter:
    converter.register_structure_hook(
        Address, lambda text, _: Address.from_text(_require_text(text))
    )
    converter.register_unstructure_hook(Address, str)
    for primitive in (int, float, str, bool, bytes):
        converter.register_structure_hook(primitive, _structure_primitive)
    converter.register_unstructure_hook(enum.IntEnum, int)
    return converter


def _require_text(raw: object) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'expected text, got {reprlib.repr(raw)}')
    return raw


def _structure_primitive(raw: Any, primitive: type) -> object:
    # Nearly all values are of the type itself; the rest takes longer to check.
    if raw.__class__ is primitive and _is_in_range(raw):
        return raw
    return _structure_other(raw, primitive)


def _structure_other(raw: object, primitive: type) -> object:
    accepted = (int, float) if primitive is float else (primitive,)
    is_unexpected_bool = isinstance(raw, bool) and primitive is not bool
    if is_unexpected_bool or not isinstance(raw, accepted):
        # A value may be nested too deeply, or be too large, for its full text.
        shown = reprlib.repr(raw)
        raise TypeError(f'expected {primitive.__name__}, got {shown}')
    if not _is_in_range(raw):
        raise ValueError(f'expected a finite {primitive.__name__} of 64 bits')
    return primitive(raw)


def _is_in_range(raw: object) -> bool:
    """Return whether a value is no number or one that fits into 64 bits."""
    if isinstance(raw, int):
        return -_MAX_WIRE_INTEGER <= raw <= _MAX_WIRE_INTEGER
    return not isinstance(raw, float) or math.isfinite(raw)


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
    except _STRUCTURE_ERRORS as error:
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
    except _STRUCTURE_ERRORS as error:
        raise DocumentInvalid((f'{data_class.__name__}: {error}',)) from error


def unstructure_fields(instance: object) -> Any:
    """Convert a data class instance to a sequence of values, recursively."""
    return _TUPLE_CONVERTER.unstructure(instance)


def read_integer(
    raw: object, *, lowest: int = 0, highest: int = MAX_INTEGER
) -> int:
    """
    Return a decoded value that is an integer within bounds.

    :param raw: decoded value.
    :param lowest: lowest accepted value.
    :param highest: highest accepted value.
    :raises ValueError: the value is of another type or out of bounds.
    """
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise ValueError(f'expected an integer, got {type(raw).__name__}')
    if not lowest <= raw <= highest:
        raise ValueError(f'expected an integer from {lowest} to {highest}')
    return raw


def read_number(
    raw: object, *, lowest: float = 0, highest: float = MAX_NUMBER
) -> float:
    """
    Return a decoded value that is a finite number within bounds.

    :param raw: decoded value.
    :param lowest: lowest accepted value.
    :param highest: highest accepted value.
    :raises ValueError: the value is of another type or out of bounds.
    """
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise ValueError(f'expected a number, got {type(raw).__name__}')
    # The comparison is false for a number that is not one.
    if not lowest <= raw <= highest:
        raise ValueError(f'expected a number from {lowest} to {highest}')
    return float(raw)


def read_flag(raw: object) -> bool:
    """
    Return a decoded value that is true or false.

    :raises ValueError: the value is of another type.
    """
    if not isinstance(raw, bool):
        raise ValueError(f'expected true or false, got {type(raw).__name__}')
    return raw


def read_name(raw: object) -> str:
    """
    Return a decoded value that is the name of a server, service or account.

    :raises ValueError: the value is of another type, empty, longer than 256
        characters, or contains others than visible ASCII characters.
    """
    if not isinstance(raw, str) or not _NAME_PATTERN.fullmatch(raw):
        raise ValueError('expected 1 to 256 visible ASCII characters')
    return raw


def parse_integer(text: bytes, *, highest: int = MAX_INTEGER) -> int | None:
    """
    Return the integer that a header contains.

    :param text: value of the header.
    :param highest: highest accepted value.
    :returns: the integer, none if the text is malformed or out of bounds.
    """
    digits = text.lstrip(b'0') or text[-1:]
    if _DIGITS_PATTERN.fullmatch(digits) is None:
        return None
    number = int(digits)
    return number if number <= highest else None
