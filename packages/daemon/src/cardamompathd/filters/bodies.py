"""Bounds and decodes request bodies."""

from __future__ import annotations

import json

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


def make_filter(limit: int) -> chain.Filter:
    """Make the filter that decodes JSON bodies of at most `limit` bytes."""

    def decode_body(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        if req.method in ("GET", "DELETE"):
            return call_next(req)
        if req.length is None:
            reason = "the request has no Content-Length"
            return chain.fault(411, "length_required", reason)
        if req.length > limit:
            reason = f"body of {req.length} bytes; at most {limit} are taken"
            return chain.fault(413, "body_too_large", reason)
        raw = req.read()
        if len(raw) != req.length:
            reason = f"body ended after {len(raw)} of {req.length} bytes"
            return chain.fault(400, "body_cut_short", reason)
        try:
            body = json.loads(raw) if raw else {}
        except ValueError as exc:
            return chain.fault(400, "bad_json", f"body is not JSON: {exc}")
        if not isinstance(body, dict):
            kind = type(body).__name__
            return chain.fault(400, "bad_json", f"body is a {kind}")
        return call_next(req._replace(body=body))

    return decode_body
