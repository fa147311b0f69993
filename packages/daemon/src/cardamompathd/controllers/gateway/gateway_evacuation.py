"""The evacuated failure domains that a gateway knows, and offers of them."""

from __future__ import annotations

from cardamompath_core import evacuation
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway_answers

__all__ = [
    "handle_read",
    "offer",
]

OFFER_INTERVAL = 0.5
"""Minimum number of seconds between two offers to a member; several of its
heartbeats may be on their way while it reads the first one."""
INVALID_LOG_INTERVAL = 10.0
"""Minimum number of seconds between two log lines about malformed offers; an
instance with a fault repeats its offer every `OFFER_INTERVAL`."""
MAX_REASON_LENGTH = 200
"""Characters of an error that are logged; it may quote a whole offer."""


def handle_read(state, msg, now):
    """Adopt a set of evacuated domains if it is later than the known one."""
    before = state.evacuation
    try:
        known = evacuation.merge(before, evacuation.make(*msg.evacuation))
    except ValueError as exc:
        return _drop_invalid(state, msg, exc, now)
    if known == before:
        return ()
    state.evacuation = known
    changed = pool_messages.EvacuationInForce(known)
    return [
        messages.Send(pool_messages.FLEET, changed),
        messages.Send(pool_messages.PLANNER, changed),
        *_log_change(before, known, msg.source),
    ]


def _drop_invalid(state, msg, exc, now):
    state.invalid_evacuations += 1
    if now < state.invalid_evacuation_logged_at + INVALID_LOG_INTERVAL:
        return ()
    state.invalid_evacuation_logged_at = now
    fields = {
        "reason": str(exc)[:MAX_REASON_LENGTH],
        "source": msg.source,
        "count": state.invalid_evacuations,
    }
    return [gateway_answers.log("invalid evacuation", "", fields)]


def _log_change(before, known, source):
    added = sorted(set(known.domains) - set(before.domains))
    removed = sorted(set(before.domains) - set(known.domains))
    sends = []
    for event, changed in (
        ("evacuation in force", added),
        ("evacuation ended", removed),
    ):
        if changed:
            fields = {
                "domains": changed,
                "all_domains": list(known.domains),
                "offset": known.offset,
                "offset_before": before.offset,
                "source": source,
            }
            sends.append(gateway_answers.log(event, "", fields))
    return sends


def offer(state, msg, now):
    """Send the known set to a member that is behind."""
    state.evacuation_offered_at = {
        address: offered_at
        for address, offered_at in state.evacuation_offered_at.items()
        if now < offered_at + OFFER_INTERVAL
    }
    if (
        state.evacuation.offset < 0
        or msg.address in state.evacuation_offered_at
    ):
        return ()
    state.evacuation_offered_at[msg.address] = now
    to_member = pool_messages.SendToMember(
        msg.address, pool_messages.EvacuationRead(state.evacuation)
    )
    return [messages.Send(pool_messages.LINKS, to_member)]
