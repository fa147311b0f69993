"""Messages between instances in Thrift's compact protocol.

A method takes one struct and returns one.  A struct is a NamedTuple
whose fields are declared as the ``thrift_spec`` that the protocol
classes of the library use, so that no generated code is needed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from cardamompathd.peers import errors

__all__ = [
    "BINARY",
    "FRAME_LIMIT",
    "I32",
    "I64",
    "Method",
    "RELAY",
    "RelayReply",
    "RelayRequest",
    "TEXT",
    "TEXT_MAP",
    "decode_call",
    "decode_reply",
    "decode_struct",
    "declare",
    "encode_call",
    "encode_reply",
    "encode_struct",
    "framed_size",
    "nested",
]

FRAME_HEADER_SIZE = 4
"""Bytes of the length that precedes each message."""

FRAME_LIMIT = 16 << 20
"""Largest message in bytes."""

CONTAINER_LIMIT = 10_000
"""Largest number of entries of a list or map in a message."""

TEXT = (Thrift.TType.STRING, "UTF8")
BINARY = (Thrift.TType.STRING, "BINARY")
I32 = (Thrift.TType.I32, None)
I64 = (Thrift.TType.I64, None)
TEXT_MAP = (
    Thrift.TType.MAP,
    (Thrift.TType.STRING, "UTF8", Thrift.TType.STRING, "UTF8", False),
)


def declare(struct: type, *field_types: tuple[int, Any]) -> None:
    """Declare the Thrift type of each field of a NamedTuple, in order.

    Field identifiers count from 1.  A field with a default may be absent
    from a message and an unknown field is skipped, so that instances of
    different versions can exchange messages.
    """
    spec: list[Any] = [None]
    for name, field_type in zip(struct._fields, field_types, strict=True):
        spec.append((len(spec), field_type[0], name, field_type[1], None))
    struct.thrift_spec = tuple(spec)
    struct.read = classmethod(_read_struct)
    struct.write = _write_struct
    struct.decoded_type = type(
        f"Decoded{struct.__name__}",
        (_Decoded,),
        {"struct": struct, "read": classmethod(_read_nested)},
    )


def nested(struct: type) -> list:
    """Return how a declared struct is named as the type of a field."""
    return [struct.decoded_type, struct.thrift_spec]


class _Decoded:
    """A struct that is being decoded.

    The C extension of the library sets one attribute after the other, which
    a NamedTuple does not allow.
    """

    struct: type

    def to_struct(self):
        """Return the NamedTuple; raise TypeError if a field is missing."""
        return self.struct(
            **{
                name: _decode_value(value)
                for name, value in vars(self).items()
            }
        )


def _decode_value(value):
    if isinstance(value, _Decoded):
        return value.to_struct()
    if isinstance(value, list):
        return [_decode_value(item) for item in value]
    return value


def _read_struct(struct, protocol):
    # The C extension is optional.
    if protocol._fast_decode is None:
        return protocol.readStruct(struct, struct.thrift_spec, True)
    decoded = struct.decoded_type()
    protocol._fast_decode(
        decoded, protocol, [struct.decoded_type, struct.thrift_spec]
    )
    return decoded.to_struct()


def _read_nested(decoded_type, protocol):
    return _read_struct(decoded_type.struct, protocol)


def _write_struct(fields, protocol):
    if protocol._fast_encode is None:
        protocol.writeStruct(fields, fields.thrift_spec)
        return
    raw = protocol._fast_encode(fields, [type(fields), fields.thrift_spec])
    protocol.trans.write(raw)


class Method(NamedTuple):
    """A method that peers can call."""

    name: str
    request: type
    reply: type


class RelayRequest(NamedTuple):
    """A caller's request, forwarded to the owner of its job."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class RelayReply(NamedTuple):
    """The owner's complete response."""

    status: int
    """HTTP status; 0 if the instance did not handle the request."""
    body: bytes
    headers: dict[str, str] = {}


declare(RelayRequest, TEXT, TEXT, TEXT_MAP, BINARY)
declare(RelayReply, I32, BINARY, TEXT_MAP)

RELAY = Method("relay", RelayRequest, RelayReply)


def framed_size(raw: bytes) -> int:
    """Return the size of a message with its frame header, in bytes.

    The size of an empty message, which is not sent, is 0.
    """
    return FRAME_HEADER_SIZE + len(raw) if raw else 0


def encode_call(method: Method, request: Any) -> bytes:
    """Return the message that calls a method."""
    return _encode(method.name, Thrift.TMessageType.CALL, request)


def encode_reply(method: Method, reply: Any) -> bytes:
    """Return the message that replies to a call."""
    return _encode(method.name, Thrift.TMessageType.REPLY, reply)


def decode_call(
    raw: bytes, methods: Mapping[str, Method]
) -> tuple[Method, Any]:
    """Decode a call and return its method and request.

    Raises
    ------
    BadMessage
        If `raw` is not a valid call of one of the methods.
    """
    return _decode(raw, methods, Thrift.TMessageType.CALL)


def decode_reply(raw: bytes, method: Method) -> Any:
    """Decode the reply to a call.

    Raises
    ------
    BadMessage
        If `raw` is not a valid reply of the method.
    """
    methods = {method.name: method}
    return _decode(raw, methods, Thrift.TMessageType.REPLY)[1]


def encode_struct(struct: Any) -> bytes:
    """Return a declared struct as bytes, for a binary field of another."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_struct(raw: bytes, struct: type) -> Any:
    """Decode a struct that `encode_struct` has encoded.

    Raises
    ------
    BadMessage
        If `raw` is not a valid struct of that type.
    """
    # The library raises many kinds of exceptions on malformed bytes.
    try:
        return struct.read(_make_decoder(raw))
    except Exception as exc:
        raise errors.BadMessage(repr(exc)) from exc


def _make_decoder(raw):
    return TCompactProtocol.TCompactProtocolAccelerated(
        TTransport.TMemoryBuffer(raw),
        string_length_limit=FRAME_LIMIT,
        container_length_limit=CONTAINER_LIMIT,
    )


def _encode(name, message_type, struct):
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(buffer)
    protocol.writeMessageBegin(name, message_type, 0)
    struct.write(protocol)
    protocol.writeMessageEnd()
    return buffer.getvalue()


def _decode(raw, methods, expected_type):
    protocol = _make_decoder(raw)
    # The library raises many kinds of exceptions on malformed bytes.
    try:
        name, message_type, _ = protocol.readMessageBegin()
        if name not in methods or message_type != expected_type:
            raise errors.BadMessage(
                f"message {name!r} of type {message_type!r}"
            )
        method = methods[name]
        struct = method.request
        if message_type == Thrift.TMessageType.REPLY:
            struct = method.reply
        return method, struct.read(protocol)
    except errors.BadMessage:
        raise
    except Exception as exc:
        raise errors.BadMessage(repr(exc)) from exc
