"""Calls and links between instances: Thrift messages over TCP."""

from cardamompath_core import submodules

__all__ = [
    "client",
    "errors",
    "exchanges",
    "gossip_codec",
    "relay",
    "room_codec",
    "server",
    "traffic",
    "wire",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
