"""Gateway: the batches whose callers wait at this instance."""

from cardamompath_core import submodules

__all__ = [
    "gateway",
    "gateway_answers",
    "gateway_cancellations",
    "gateway_drops",
    "gateway_lookups",
    "gateway_members",
    "gateway_planners",
    "gateway_queries",
    "gateway_rooms",
    "gateway_state",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
