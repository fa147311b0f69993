"""Turns errors of the layers below into responses."""

from __future__ import annotations

import loguru

from cardamompath_core import errors
from cardamompathd.filters import chain

__all__ = [
    "answer_failures",
]


def answer_failures(
    req: chain.Request, call_next: chain.Handler
) -> chain.Response:
    """Answer a bad identifier with 400 and any other error with 500."""
    try:
        return call_next(req)
    except errors.IdentifierError as exc:
        return chain.fault(400, "bad_identifier", str(exc))
    except Exception:
        loguru.logger.exception("callers: {} {}", req.method, req.path)
        reason = "internal error; the request may have run"
        body = {"outcome": "failed", "code": "internal", "reason": reason}
        return chain.Response(500, body)
