"""The configuration in force on this instance."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cardamompath_core import release_notes
from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "ConfigurationState",
    "make_controller",
]


class ConfigurationState:
    """The fold over the release notes read so far."""

    def __init__(self):
        self.cfg = types.Configuration()


def make_controller() -> messages.Controller:
    """Make the controller that folds release notes."""
    state = ConfigurationState()

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.CONFIGURATION, receive)


def _read(state, msg, now):
    before = state.cfg.revision
    for offset, record in msg.records:
        if offset <= state.cfg.offset:
            continue
        result = release_notes.apply_note(state.cfg, record, offset)
        state.cfg = result.cfg
    if state.cfg.revision == before:
        return []
    changed = messages.ConfigurationChanged(state.cfg)
    return [
        messages.Send(messages.JOBS, changed),
        messages.Send(messages.BACKENDS, changed),
    ]


def _get(state, msg, now):
    reply = messages.Reply(msg.reply, state.cfg)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.GetConfiguration: _get,
    messages.RecordsRead: _read,
}
