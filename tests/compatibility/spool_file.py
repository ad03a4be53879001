"""Shifts the times in a stored spool to the present, as if it had just been written.

The file is `BRSPOOL1` followed by records: length and CRC-32 of the payload, four bytes
each, and the payload. Numbers are little-endian; a text is preceded by its length in
four bytes. A payload begins with its kind and the message's number of eight bytes.
"""

import struct
import time
import zlib

MAGIC = b"BRSPOOL1"
FRAME = struct.Struct("<II")
TIME = struct.Struct("<Q")
HEAD_BYTES = 9  # the kind and the message's number
ACCEPTED, ATTEMPT_BEGUN = b"A", b"B"
TEXTS_BEFORE_DESTINATION = 4  # id, key, class and tenant


def records(data):
    """Returns the payloads of the complete records, and the bytes after them."""
    payloads = []
    at = len(MAGIC)
    while at + FRAME.size <= len(data):
        length, _ = FRAME.unpack_from(data, at)
        end = at + FRAME.size + length
        if end > len(data):
            break
        payloads.append(data[at + FRAME.size : end])
        at = end
    return payloads, data[at:]


def _skip_text(payload, at):
    (length,) = struct.unpack_from("<I", payload, at)
    return at + 4 + length


def _time_offset(payload):
    """Returns the offset of the payload's time, or None if it has no time."""
    if payload[:1] == ATTEMPT_BEGUN:
        return _skip_text(payload, HEAD_BYTES)
    if payload[:1] != ACCEPTED:
        return None
    at = HEAD_BYTES
    for _ in range(TEXTS_BEFORE_DESTINATION):
        at = _skip_text(payload, at)
    return at + 8


def shift_to_now(data):
    """Returns the spool with its times shifted so that its newest attempt begins
    now."""
    payloads, rest = records(data)
    begun = [
        TIME.unpack_from(payload, _time_offset(payload))[0]
        for payload in payloads
        if payload[:1] == ATTEMPT_BEGUN
    ]
    shift = int(time.time() * 1000) - max(begun)
    out = MAGIC
    for payload in payloads:
        at = _time_offset(payload)
        if at is not None:
            moved = TIME.pack(TIME.unpack_from(payload, at)[0] + shift)
            payload = payload[:at] + moved + payload[at + TIME.size :]
        out += FRAME.pack(len(payload), zlib.crc32(payload)) + payload
    return out + rest
