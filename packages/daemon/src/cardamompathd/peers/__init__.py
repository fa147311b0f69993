"""Calls and links between instances: Thrift messages over TCP."""

from cardamompathd.peers import client
from cardamompathd.peers import errors
from cardamompathd.peers import exchanges
from cardamompathd.peers import gossip_codec
from cardamompathd.peers import relay
from cardamompathd.peers import server
from cardamompathd.peers import traffic
from cardamompathd.peers import wire

__all__ = [
    "client",
    "errors",
    "exchanges",
    "gossip_codec",
    "relay",
    "server",
    "traffic",
    "wire",
]
