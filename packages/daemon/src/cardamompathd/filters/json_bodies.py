"""Limits the size of request bodies and decodes them from JSON."""

from __future__ import annotations

import json
import math
from typing import Any

from returns import pipeline
from returns import result

from cardamompathd.filters import chain
from cardamompathd.filters import errors

__all__ = [
    "make_filter",
]


def make_filter(limit: int) -> chain.Filter:
    """Make the filter that decodes JSON bodies of at most `limit` bytes."""

    def decode_body(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        if req.length is None:
            reason = "the request has no Content-Length"
            return chain.error_response(411, "length_required", reason)
        if req.length > limit:
            reason = f"body of {req.length} bytes; the limit is {limit} bytes"
            return chain.error_response(413, "body_too_large", reason)
        decoded = _read_body(req)
        if not pipeline.is_successful(decoded):
            return decoded.failure()
        return call_next(req._replace(body=decoded.unwrap()))

    return decode_body


def _read_body(req) -> result.Result[dict[str, Any], chain.Response]:
    try:
        raw = req.read()
    except errors.BodyTimeout as exc:
        return result.Failure(
            chain.error_response(408, "request_timeout", str(exc))
        )
    except errors.BodyCutShort as exc:
        return result.Failure(
            chain.error_response(400, "body_cut_short", str(exc))
        )
    if len(raw) != req.length:
        reason = f"body ended after {len(raw)} of {req.length} bytes"
        return result.Failure(
            chain.error_response(400, "body_cut_short", reason)
        )
    return _decode_object(raw)


def _decode_object(raw):
    try:
        body = _parse(raw) if raw else {}
    except (ValueError, RecursionError) as exc:
        reason = f"body is not JSON: {exc}"
        return result.Failure(chain.error_response(400, "bad_json", reason))
    if not isinstance(body, dict):
        reason = f"body is a {type(body).__name__}; it must be an object"
        return result.Failure(chain.error_response(400, "bad_json", reason))
    return result.Success(body)


def _parse(raw):
    return json.loads(
        raw,
        parse_constant=_reject_constant,
        parse_float=_parse_float,
        object_pairs_hook=_make_object,
    )


def _reject_constant(name):
    raise ValueError(f"{name} is not a JSON value")


def _parse_float(text):
    value = float(text)
    if math.isinf(value):
        raise ValueError(f"{text} is out of range")
    return value


def _make_object(pairs):
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{duplicate!r} is a duplicate key")
    return fields
