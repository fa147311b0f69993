"""Messages between instances in Thrift's compact protocol.

A method takes one struct and answers one.  A struct is a NamedTuple
whose fields are declared in the form of ``thrift_spec`` that the
library's protocols read and write, so that no generator is needed.
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
    "declare",
    "encode_call",
    "encode_reply",
    "encode_start",
    "framed_size",
]

FRAME_HEADER = 4
"""Bytes in front of each message, with its length."""

FRAME_LIMIT = 16 << 20
"""Largest message, in bytes."""

CONTAINER_LIMIT = 10_000
"""Most entries of a list or map in a message."""

TEXT = (Thrift.TType.STRING, "UTF8")
BINARY = (Thrift.TType.STRING, "BINARY")
I32 = (Thrift.TType.I32, None)
I64 = (Thrift.TType.I64, None)
TEXT_MAP = (
    Thrift.TType.MAP,
    (Thrift.TType.STRING, "UTF8", Thrift.TType.STRING, "UTF8", False),
)


def declare(struct: type, *kinds: tuple[int, Any]) -> None:
    """Declare the Thrift type of each field of a NamedTuple, in order.

    Field identifiers count from 1.  A field with a default may be
    missing in a message; an unknown field is skipped, so that instances
    of different versions understand each other.
    """
    spec: list[Any] = [None]
    for name, kind in zip(struct._fields, kinds, strict=True):
        spec.append((len(spec), kind[0], name, kind[1], None))
    struct.thrift_spec = tuple(spec)
    struct.read = classmethod(
        lambda cls, protocol: protocol.readStruct(cls, cls.thrift_spec, True)
    )
    struct.write = lambda self, protocol: protocol.writeStruct(
        self, self.thrift_spec
    )


class Method(NamedTuple):
    """A method that peers can call."""

    name: str
    request: type
    reply: type


class RelayRequest(NamedTuple):
    """A caller's request, handed to the owner of its job."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class RelayReply(NamedTuple):
    """The owner's whole answer."""

    status: int
    """HTTP status; 0 when this instance is not the owner."""
    body: bytes
    headers: dict[str, str] = {}


declare(RelayRequest, TEXT, TEXT, TEXT_MAP, BINARY)
declare(RelayReply, I32, BINARY, TEXT_MAP)

RELAY = Method("relay", RelayRequest, RelayReply)


def framed_size(raw: bytes) -> int:
    """Return the bytes that a message takes on the connection."""
    return FRAME_HEADER + len(raw) if raw else 0


def encode_call(method: Method, request: Any) -> bytes:
    """Return the message that calls a method."""
    return _encode(method.name, Thrift.TMessageType.CALL, request)


def encode_reply(method: Method, reply: Any) -> bytes:
    """Return the message that answers a call."""
    return _encode(method.name, Thrift.TMessageType.REPLY, reply)


def decode_call(
    raw: bytes, methods: Mapping[str, Method]
) -> tuple[Method, Any]:
    """Read a call.

    Raises
    ------
    BadMessage
        If `raw` is not a call of one of the methods.
    """
    return _decode(raw, methods, Thrift.TMessageType.CALL)


def decode_reply(raw: bytes, method: Method) -> Any:
    """Read the answer to a call.

    Raises
    ------
    BadMessage
        If `raw` is not an answer of the method.
    """
    methods = {method.name: method}
    return _decode(raw, methods, Thrift.TMessageType.REPLY)[1]


def encode_start(method: Method) -> bytes:
    """Return the bytes with which every call of a method begins."""
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocol(buffer)
    protocol.writeMessageBegin(method.name, Thrift.TMessageType.CALL, 0)
    return buffer.getvalue()


def _encode(name, kind, struct):
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocol(buffer)
    protocol.writeMessageBegin(name, kind, 0)
    struct.write(protocol)
    protocol.writeMessageEnd()
    return buffer.getvalue()


def _decode(raw, methods, expected):
    buffer = TTransport.TMemoryBuffer(raw)
    protocol = TCompactProtocol.TCompactProtocol(
        buffer, FRAME_LIMIT, CONTAINER_LIMIT
    )
    # The library raises many kinds of errors on malformed bytes.
    try:
        name, kind, _ = protocol.readMessageBegin()
        if name not in methods or kind != expected:
            raise errors.BadMessage(f"message {name!r} of kind {kind!r}")
        method = methods[name]
        struct = method.request
        if kind == Thrift.TMessageType.REPLY:
            struct = method.reply
        return method, struct.read(protocol)
    except errors.BadMessage:
        raise
    except Exception as exc:
        raise errors.BadMessage(repr(exc)) from exc
