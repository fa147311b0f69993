"""Costs of the configuration in force."""

from __future__ import annotations

import time
import tracemalloc

from cardamompath_core import release_notes
from cardamompath_proof.slopes import dispatch

__all__ = [
    "fold_cost",
    "fold_memory",
]

ROUNDS = 20


def _note(cfg):
    changed = {"backends": {"executor-0": {"slots": 4}}}
    return {"kind": "note", "base": cfg.revision, "changed": changed}


def fold_cost(backends: int) -> float:
    """Return processor seconds to fold one change and fingerprint it."""
    cfg = dispatch.make_configuration(backends)
    began = time.process_time()
    for offset in range(ROUNDS):
        result = release_notes.apply_note(cfg, _note(cfg), offset + 1)
        cfg = result.cfg
        release_notes.fingerprint(cfg)
    return (time.process_time() - began) / ROUNDS


def fold_memory(backends: int) -> float:
    """Return the bytes that the configuration takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    cfg = dispatch.make_configuration(backends)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del cfg
    return float(after - before)
