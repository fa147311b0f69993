"""Wire forms of the digests and configurations that peers exchange."""

from __future__ import annotations

import ipaddress
import json
import zlib
from typing import NamedTuple

from thrift import Thrift

from cardamompath_core import config_fold
from cardamompath_core import membership
from cardamompath_core import types
from cardamompathd.peers import errors
from cardamompathd.peers import wire

__all__ = [
    "BODY",
    "BodyAsked",
    "BodyFields",
    "DIGEST",
    "DigestFields",
    "EntryFields",
    "decode_body",
    "decode_digest",
    "encode_body",
    "encode_digest",
]

MAX_BODY = 16 << 20
"""Largest configuration that is decoded, in bytes."""


class EntryFields(NamedTuple):
    """One instance."""

    incarnation: str
    host: bytes
    port: int
    status: int
    heartbeat: int
    queued: int
    in_flight: int
    limit: int
    revision: int


class DigestFields(NamedTuple):
    """What one instance tells another in an exchange."""

    own: EntryFields
    offset: int
    fingerprint: bytes
    leaving: bytes
    rumours: list[EntryFields]


class BodyAsked(NamedTuple):
    """Asks for what was folded after an offset."""

    after: int


class BodyFields(NamedTuple):
    """Notes behind an offset, or a whole configuration."""

    after: int
    through: int
    content: bytes
    """Compressed JSON of the notes or the snapshot."""


wire.declare(
    EntryFields,
    wire.TEXT,
    wire.BINARY,
    wire.I32,
    wire.I32,
    wire.I64,
    wire.I32,
    wire.I32,
    wire.I32,
    wire.I64,
)
_ENTRY = (EntryFields, EntryFields.thrift_spec)
wire.declare(
    DigestFields,
    (Thrift.TType.STRUCT, _ENTRY),
    wire.I64,
    wire.BINARY,
    wire.BINARY,
    (Thrift.TType.LIST, (Thrift.TType.STRUCT, _ENTRY, False)),
)
wire.declare(BodyAsked, wire.I64)
wire.declare(BodyFields, wire.I64, wire.I64, wire.BINARY)

DIGEST = wire.Method("digest", DigestFields, DigestFields)
BODY = wire.Method("body", BodyAsked, BodyFields)


def encode_digest(digest: membership.Digest) -> DigestFields:
    """Make the wire form of a digest."""
    return DigestFields(
        _encode_entry(digest.own),
        digest.offset,
        bytes.fromhex(digest.fingerprint),
        digest.leaving,
        [_encode_entry(one) for one in digest.rumours],
    )


def _encode_entry(entry):
    return EntryFields(
        entry.incarnation,
        ipaddress.ip_address(entry.host).packed,
        entry.port,
        membership.STATUSES.index(entry.status),
        entry.heartbeat,
        *entry.load[:3],
        entry.revision,
    )


def decode_digest(fields: DigestFields) -> membership.Digest:
    """Read the wire form of a digest.

    Raises
    ------
    BadMessage
        If a field is out of its bounds.
    """
    try:
        return membership.Digest(
            _decode_entry(fields.own),
            fields.offset,
            fields.fingerprint.hex(),
            fields.leaving,
            tuple(
                _decode_entry(one)
                for one in fields.rumours[: membership.RUMOURS]
            ),
        )
    except (AttributeError, LookupError, TypeError, ValueError) as exc:
        raise errors.BadMessage(f"digest: {exc!r}") from exc


def _decode_entry(fields):
    if fields.status < 0 or not 0 < fields.port <= 65535:
        raise ValueError(f"status {fields.status}, port {fields.port}")
    return membership.Entry(
        fields.incarnation,
        str(ipaddress.ip_address(fields.host)),
        fields.port,
        membership.STATUSES[fields.status],
        fields.heartbeat,
        types.LoadHint(fields.queued, fields.in_flight, fields.limit),
        fields.revision,
    )


def encode_body(body: config_fold.Body) -> BodyFields:
    """Make the wire form of what a peer lacks."""
    content = {"records": body.records, "snapshot": body.snapshot}
    raw = zlib.compress(json.dumps(content).encode())
    return BodyFields(body.after, body.through, raw)


def decode_body(fields: BodyFields) -> config_fold.Body:
    """Read the wire form of what a peer handed over.

    Raises
    ------
    BadMessage
        If the content cannot be read.
    """
    try:
        inflated = zlib.decompressobj().decompress(fields.content, MAX_BODY)
        content = json.loads(inflated)
        records = tuple(
            (int(offset), record) for offset, record in content["records"]
        )
        return config_fold.Body(
            fields.after, fields.through, records, content["snapshot"]
        )
    except (LookupError, TypeError, ValueError, zlib.error) as exc:
        raise errors.BadMessage(f"body: {exc!r}") from exc
    except RecursionError as exc:
        raise errors.BadMessage("body is nested too deeply") from exc
