"""The other instances: heartbeats, gossip and who plans."""

from cardamompath_core import submodules

__all__ = [
    "fleet",
    "fleet_rates",
    "fleet_state",
    "fleet_views",
    "load_reports",
    "membership",
    "membership_updates",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
