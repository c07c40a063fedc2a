"""Encoding of typed messages as versioned msgpack frames."""

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

__all__ = ['FRAME_VERSION', 'Envelope', 'InvalidMessage', 'MessageRegistry']

#: Version of the frame format; frames of other versions are rejected.
FRAME_VERSION = 1


@dataclasses.dataclass(frozen=True)
class Envelope:
    """
    A message with its exchange ID.

    :param exchange_id: correlates a response with its request on a stream.
    :param message: decoded message.
    """

    exchange_id: int
    message: Any


@dataclasses.dataclass(frozen=True)
class _Frame:
    version: int
    exchange_id: int
    number: int
    fields: list[Any]


class InvalidMessage(BronzesillError):
    """
    Raised for a frame that cannot be decoded.

    :param detail: description of the error.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.MESSAGE_INVALID, detail)


class MessageRegistry:
    """
    Encodes and decodes registered message types.

    :param types_by_number: data classes by the type number used in frames.
    """

    def __init__(self, types_by_number: dict[int, type]) -> None:
        self._types_by_number = types_by_number
        self._numbers_by_type = {
            message_type: number
            for number, message_type in types_by_number.items()
        }

    def encode(self, message: object, exchange_id: int = 0) -> bytes:
        """
        Encode a message as a frame.

        :param message: instance of a registered type.
        :param exchange_id: correlates a response with its request on a
            stream, 0 for datagrams.
        :raises KeyError: if the type is not registered.
        """
        number = self._numbers_by_type[type(message)]
        fields = unstructure_fields(message)
        packed: bytes = msgpack.packb(
            (FRAME_VERSION, exchange_id, number, fields)
        )
        return packed

    def decode(self, packed: bytes) -> Any:
        """
        Decode a datagram and return its message.

        :param packed: bytes of a single frame.
        :raises InvalidMessage: if it is not a valid frame of a known type.
        """
        try:
            frame = msgpack.unpackb(packed)
        except (ValueError, msgpack.UnpackException) as error:
            raise InvalidMessage(f'invalid msgpack: {error}') from error
        return self.from_frame(frame).message

    def from_frame(self, unpacked: Any) -> Envelope:
        """
        Convert a frame that msgpack has already unpacked.

        :param unpacked: frame as unpacked by msgpack.
        :raises InvalidMessage: if it is not a valid frame of a known type.
        """
        try:
            frame = structure_fields(unpacked, _Frame)
            message_type = self._types_by_number[frame.number]
            message: Any = structure_fields(frame.fields, message_type)
        except (DocumentInvalid, KeyError) as error:
            raise InvalidMessage(f'invalid frame: {error}') from error
        if frame.version != FRAME_VERSION:
            raise InvalidMessage(f'unsupported frame version {frame.version}')
        return Envelope(frame.exchange_id, message)
