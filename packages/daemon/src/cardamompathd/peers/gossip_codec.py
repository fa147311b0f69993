"""Codec of the digests and configuration updates that peers exchange."""

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
    "CONFIG_UPDATE",
    "ConfigUpdateFields",
    "ConfigUpdateRequest",
    "DIGEST",
    "DigestFields",
    "EntryFields",
    "decode_config_update",
    "decode_digest",
    "encode_config_update",
    "encode_digest",
]

MAX_CONTENT_BYTES = 16 << 20
"""Largest decompressed content of a configuration update."""


class EntryFields(NamedTuple):
    """A `membership.Entry` on the wire."""

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
    """A `membership.Digest` on the wire."""

    own: EntryFields
    offset: int
    fingerprint: bytes
    leaving: bytes
    rumours: list[EntryFields]


class ConfigUpdateRequest(NamedTuple):
    """Requests the part of the configuration log after an offset."""

    after: int


class ConfigUpdateFields(NamedTuple):
    """The records after an offset, or a snapshot of the configuration."""

    after: int
    through: int
    content: bytes
    """zlib-compressed JSON of the records and the snapshot."""


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
_ENTRY = wire.nested(EntryFields)
wire.declare(
    DigestFields,
    (Thrift.TType.STRUCT, _ENTRY),
    wire.I64,
    wire.BINARY,
    wire.BINARY,
    (Thrift.TType.LIST, (Thrift.TType.STRUCT, _ENTRY, False)),
)
wire.declare(ConfigUpdateRequest, wire.I64)
wire.declare(ConfigUpdateFields, wire.I64, wire.I64, wire.BINARY)

DIGEST = wire.Method("digest", DigestFields, DigestFields)
CONFIG_UPDATE = wire.Method("body", ConfigUpdateRequest, ConfigUpdateFields)


def encode_digest(digest: membership.Digest) -> DigestFields:
    """Encode a digest."""
    return DigestFields(
        _encode_entry(digest.own),
        digest.offset,
        bytes.fromhex(digest.fingerprint),
        digest.leaving,
        [_encode_entry(entry) for entry in digest.rumours],
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
    """Decode a digest.

    Raises
    ------
    BadMessage
        If a field is invalid or out of range.
    """
    try:
        return membership.Digest(
            _decode_entry(fields.own),
            fields.offset,
            fields.fingerprint.hex(),
            fields.leaving,
            tuple(
                _decode_entry(entry)
                for entry in fields.rumours[: membership.RUMOURS_PER_DIGEST]
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


def encode_config_update(
    update: config_fold.ConfigUpdate,
) -> ConfigUpdateFields:
    """Encode an update of a peer's configuration."""
    content = {"records": update.records, "snapshot": update.snapshot}
    raw = zlib.compress(json.dumps(content).encode())
    return ConfigUpdateFields(update.after, update.through, raw)


def decode_config_update(
    fields: ConfigUpdateFields,
) -> config_fold.ConfigUpdate:
    """Decode an update of the configuration.

    Raises
    ------
    BadMessage
        If the content cannot be decompressed or decoded.
    """
    try:
        decompressed = zlib.decompressobj().decompress(
            fields.content, MAX_CONTENT_BYTES
        )
        content = json.loads(decompressed)
        records = tuple(
            (int(offset), record) for offset, record in content["records"]
        )
        return config_fold.ConfigUpdate(
            fields.after, fields.through, records, content["snapshot"]
        )
    except (LookupError, TypeError, ValueError, zlib.error) as exc:
        raise errors.BadMessage(f"configuration update: {exc!r}") from exc
    except RecursionError as exc:
        raise errors.BadMessage(
            "configuration update is nested too deeply"
        ) from exc
