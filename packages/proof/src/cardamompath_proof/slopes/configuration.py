"""Costs of the configuration: its memory and its changes."""

from __future__ import annotations

import time
import tracemalloc

from cardamompath_core import release_notes
from cardamompath_proof.slopes import dispatch

__all__ = [
    "measure_memory",
    "measure_update_time",
]

ROUNDS = 20


def _make_note(cfg):
    changed = {"backends": {"executor-0": {"slots": 4}}}
    return {"kind": "note", "base": cfg.revision, "changed": changed}


def measure_update_time(backends: int) -> float:
    """Return the processor seconds to apply and fingerprint one change."""
    cfg = dispatch.make_configuration(backends)
    started_at = time.process_time()
    for offset in range(ROUNDS):
        result = release_notes.apply_note(cfg, _make_note(cfg), offset + 1)
        cfg = result.cfg
        release_notes.fingerprint(cfg)
    return (time.process_time() - started_at) / ROUNDS


def measure_memory(backends: int) -> float:
    """Return the bytes of memory of a configuration."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    cfg = dispatch.make_configuration(backends)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del cfg
    return float(after - before)
