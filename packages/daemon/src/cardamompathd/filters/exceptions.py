"""Translates exceptions of the inner filters and the handler."""

from __future__ import annotations

import loguru

from cardamompath_core import errors
from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


def make_filter(part: str) -> chain.Filter:
    """Make the filter that translates exceptions into responses.

    An invalid identifier is answered with 400, any other exception is
    logged and answered with 500.

    Parameters
    ----------
    part : str
        Prefix of the log lines.
    """

    def translate_exceptions(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        try:
            return call_next(req)
        except errors.IdentifierError as exc:
            return chain.error_response(400, "bad_identifier", str(exc))
        except Exception:
            loguru.logger.exception("{}: {} failed", part, req.method)
            reason = "internal error; the request may have run"
            body = {"outcome": "failed", "code": "internal", "reason": reason}
            return chain.Response(500, body)

    return translate_exceptions
