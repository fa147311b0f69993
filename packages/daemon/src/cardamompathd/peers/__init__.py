"""Calls between instances: Thrift messages over TCP."""

from cardamompathd.peers import client
from cardamompathd.peers import errors
from cardamompathd.peers import relay
from cardamompathd.peers import server
from cardamompathd.peers import wire

__all__ = [
    "client",
    "errors",
    "relay",
    "server",
    "wire",
]
