"""Typed messages as msgpack, with a version and a number for each type."""

import dataclasses
from typing import Any

import msgpack

from ..utils import (
    BronzesillError,
    DocumentInvalid,
    ResultCode,
    structure_fields,
    unstructure_fields,
)

__all__ = ['FRAME_VERSION', 'Envelope', 'MessageRegistry', 'UnknownMessage']

#: Version of the framing; a frame of another version is dropped.
FRAME_VERSION = 1


@dataclasses.dataclass(frozen=True)
class Envelope:
    """
    A message with the exchange it belongs to.

    :param exchange_id: ties an answer to its question on a stream.
    :param message: the message.
    """

    exchange_id: int
    message: Any


@dataclasses.dataclass(frozen=True)
class _Frame:
    version: int
    exchange_id: int
    number: int
    fields: list[Any]


class UnknownMessage(BronzesillError):
    """
    A frame that cannot be understood.

    :param detail: what is wrong with it.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.MESSAGE_INVALID, detail)


class MessageRegistry:
    """
    Which message type has which number.

    :param types_by_number: data classes by the number that stands for them.
    """

    def __init__(self, types_by_number: dict[int, type]) -> None:
        self._types_by_number = types_by_number
        self._numbers_by_type = {
            shape: number for number, shape in types_by_number.items()
        }

    def encode(self, message: object, exchange_id: int = 0) -> bytes:
        """
        Encode a message.

        :param message: instance of a registered type.
        :param exchange_id: ties an answer to its question on a stream.
        """
        number = self._numbers_by_type[type(message)]
        fields = unstructure_fields(message)
        packed: bytes = msgpack.packb(
            (FRAME_VERSION, exchange_id, number, fields)
        )
        return packed

    def decode(self, packed: bytes) -> Any:
        """
        Decode a message that came by itself.

        :raises UnknownMessage: it is not a frame of a known type.
        """
        try:
            frame = msgpack.unpackb(packed)
        except (ValueError, msgpack.UnpackException) as error:
            raise UnknownMessage(f'not msgpack: {error}') from error
        return self.from_frame(frame).message

    def from_frame(self, raw: Any) -> Envelope:
        """
        Build the message of an unpacked frame.

        :raises UnknownMessage: it is not a frame of a known type.
        """
        try:
            frame = structure_fields(raw, _Frame)
            shape = self._types_by_number[frame.number]
            message: Any = structure_fields(frame.fields, shape)
        except (DocumentInvalid, KeyError) as error:
            raise UnknownMessage(f'not understood: {error}') from error
        if frame.version != FRAME_VERSION:
            raise UnknownMessage(f'frame version {frame.version}')
        return Envelope(frame.exchange_id, message)
