"""XOR of two bodies with run-length encoded zero bytes."""

import itertools


def encode(old: bytes, new: bytes) -> bytes:
    """Returns the length of `new` and (zero run, literal run) pairs."""
    width = max(len(old), len(new))
    mixed = bytes(
        left ^ right
        for left, right in zip(
            old.ljust(width, b"\0"), new.ljust(width, b"\0"), strict=True
        )
    )
    result = bytearray(_varint(len(new)))
    for is_zero, run in itertools.groupby(mixed, key=lambda byte: byte == 0):
        literal = bytes(run)
        if is_zero:
            result += _varint(len(literal))
            continue
        if len(result) == len(_varint(len(new))):
            result += _varint(0)
        result += _varint(len(literal)) + literal
    return bytes(result)


def decode(old: bytes, encoded: bytes) -> bytes:
    """Returns the new body."""
    length, at = _read_varint(encoded, 0)
    mixed = bytearray()
    while at < len(encoded):
        zeros, at = _read_varint(encoded, at)
        mixed += bytes(zeros)
        if at < len(encoded):
            size, at = _read_varint(encoded, at)
            mixed += encoded[at : at + size]
            at += size
    padded = old.ljust(len(mixed), b"\0")
    pairs = zip(padded, mixed, strict=False)
    return bytes(left ^ right for left, right in pairs)[:length]


def _varint(number: int) -> bytes:
    result = bytearray()
    while number >= 0x80:
        result.append(number & 0x7F | 0x80)
        number >>= 7
    result.append(number)
    return bytes(result)


def _read_varint(data: bytes, at: int) -> tuple[int, int]:
    number = shift = 0
    while True:
        byte = data[at]
        number |= (byte & 0x7F) << shift
        at += 1
        shift += 7
        if byte < 0x80:
            return number, at
