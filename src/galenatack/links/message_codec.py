"""Encodes messages as CBOR arrays: tag, request id, reply id, fields."""

import io
import typing

import cbor2

from galenatack import exceptions
from galenatack.links import _field_checks
from galenatack.links import envelope
from galenatack.links import message_tags
from galenatack.links import unknown_message

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum frame size; a larger frame is refused before it is decoded."""

MAX_DEPTH = 8
"""Maximum nesting, which covers the deepest message.

That is: envelope, message, records, record, rejections, fields.
"""

_CHECKS = {
    tag: _field_checks.build(kind) for tag, kind in message_tags.TYPES.items()
}


def _refuse_tag(*_: typing.Any) -> typing.NoReturn:
    raise ValueError("CBOR tags are not allowed")


# The built-in tag decoders can allocate far more memory than the frame size,
# such as for a big float with a large exponent. Every tag is refused instead.
_BUILT_IN_TAGS = (
    *range(6),
    *(25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261, 1004),
    *(43000, 55799),
)
_TAG_DECODERS = dict.fromkeys(_BUILT_IN_TAGS, _refuse_tag)


def encode(
    message: typing.Any, *, request_id: int = 0, reply_id: int = 0
) -> bytes:
    """Encodes a message as one frame.

    Raises:
        exceptions.ProtocolError: The type is unknown, a field cannot be
            encoded, or the frame is too large.
    """
    tag = message_tags.TAGS.get(type(message))
    if tag is None:
        raise exceptions.ProtocolError(
            f"no message type {type(message).__name__}"
        )
    try:
        frame = cbor2.dumps((tag, request_id, reply_id, message))
    except cbor2.CBOREncodeError as error:
        raise exceptions.ProtocolError(f"bad field: {error}") from error
    if len(frame) > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
        )
    return frame


def decode(frame: bytes | str) -> envelope.Envelope:
    """Decodes one frame.

    Raises:
        exceptions.ProtocolError: The frame is malformed in any way.
    """
    if not isinstance(frame, bytes):
        raise exceptions.ProtocolError("binary frame expected")
    if len(frame) > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
        )
    try:
        return _validate(_parse(frame))
    # The frame is untrusted: any exception of the decoder means a bad frame.
    except Exception as error:
        raise exceptions.ProtocolError(f"bad frame: {error}") from error


def _parse(frame: bytes) -> typing.Any:
    stream = io.BytesIO(frame)
    decoder = cbor2.CBORDecoder(
        stream,
        tag_hook=_refuse_tag,
        semantic_decoders=_TAG_DECODERS,
        max_depth=MAX_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
        strict_hashable_types=True,
    )
    value = decoder.decode()
    if stream.read(1):
        raise ValueError("bytes after the message")
    return value


def _validate(parts: typing.Any) -> envelope.Envelope:
    if type(parts) is not list:
        raise ValueError("array expected")
    tag, request_id, reply_id, fields = parts
    for number in (tag, request_id, reply_id):
        if type(number) is not int or not 0 <= number < 1 << 32:
            raise ValueError("32-bit identifier expected")
    check = _CHECKS.get(tag)
    if check is None:
        message = unknown_message.UnknownMessage(tag)
        return envelope.Envelope(message, request_id, reply_id)
    return envelope.Envelope(check(fields), request_id, reply_id)
