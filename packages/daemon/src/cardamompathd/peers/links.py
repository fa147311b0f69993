"""Links between instances: one task owns all their sockets.

An instance sends on the links that it opened itself and receives on those
that other instances opened to it.  A broken link is reopened.  Messages
in transit are lost; their senders repeat those that matter.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable
from typing import Any

import loguru

from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.peers import errors
from cardamompathd.peers import pool_codec
from cardamompathd.peers import wire
from cardamompathd.runtime import actors
from cardamompathd.runtime import sockets

__all__ = [
    "Links",
    "make_owner",
]

REOPEN_DELAY = 0.2
"""Seconds until a broken link is reopened."""
INVALID_ADDRESS_DELAY = 30.0
"""Seconds until a link is opened again whose address raised an error other
than that of a connection."""
CONNECT_TIMEOUT = 0.5
"""Seconds for a link to connect.  The kernel would resend a lost SYN only
after a second."""
STALL_TIMEOUT = 0.6
"""Seconds without progress of pending bytes after which a link is closed
and reopened; about the time without heartbeats after which an instance
counts as missing."""
MAX_PENDING_BYTES = 4 << 20
"""Bytes that may wait on one link; with more it is closed and reopened."""
READ_SIZE = 1 << 16
"""Largest number of bytes that are read from a link at a time."""
BACKLOG = 128
"""Connections that may wait to be accepted."""
FRAME_LENGTH = struct.Struct("!I")
"""Precedes each message."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000),
)


class _OutgoingLink:
    __slots__ = (
        "address", "connected", "opened_at", "pending", "reopen_at", "sock",
        "stalled_at",
    )  # fmt: skip

    def __init__(self, address):
        self.address = address
        self.sock: socket.socket | None = None
        self.connected = False
        self.opened_at = 0.0
        self.reopen_at = 0.0
        self.stalled_at: float | None = None
        self.pending = bytearray()


class _IncomingLink:
    __slots__ = ("buffer", "sock")

    def __init__(self, sock):
        self.sock = sock
        self.buffer = bytearray()


class Links:
    """The links to and from the other instances.

    Parameters
    ----------
    address : tuple of str and int
        Address at which other instances connect.
    registry : SocketRegistry
        Reports when the sockets are ready.
    deliver : callable
        Called with a `Send` for each received message.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        address: tuple[str, int],
        registry: sockets.SocketRegistry,
        deliver: Callable[[messages.Send], None],
    ):
        self._deliver = deliver
        self._registry = registry
        self._outgoing: dict[tuple[str, int], _OutgoingLink] = {}
        self._incoming: dict[int, _IncomingLink] = {}
        self._check_at = 0.0
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        registry.register(self._listener, "listener")

    def close(self) -> None:
        """Close every socket."""
        for link in self._outgoing.values():
            self._close(link)
        for link in self._incoming.values():
            link.sock.close()
        self._listener.close()

    def next_check(self) -> float:
        """Return when `check` is due."""
        return self._check_at

    def receive(self, msg: Any, now: float) -> None:
        """Open or close a link, or send a message on links."""
        if isinstance(msg, pool_messages.SetLink):
            self._set_link(msg, now)
            return
        addresses = (
            msg.addresses
            if isinstance(msg, pool_messages.SendToMembers)
            else (msg.address,)
        )
        raw = pool_codec.encode(msg.msg)
        frame = FRAME_LENGTH.pack(len(raw)) + raw
        for address in addresses:
            link = self._outgoing.get(address)
            if link is None or link.sock is None:
                continue
            link.pending += frame
            if link.connected:
                self._flush(link, now)

    def _set_link(self, msg, now):
        if not msg.keep:
            link = self._outgoing.pop(msg.address, None)
            if link is not None:
                self._close(link)
        elif msg.address not in self._outgoing:
            link = self._outgoing[msg.address] = _OutgoingLink(msg.address)
            self._open(link, now)

    def check(self, now: float) -> None:
        """Reopen broken links, and close those that stall."""
        self._check_at = now + REOPEN_DELAY
        for link in list(self._outgoing.values()):
            if link.sock is None:
                if now >= link.reopen_at:
                    self._open(link, now)
            elif not link.connected and now > link.opened_at + CONNECT_TIMEOUT:
                self._fail(link, "connecting timed out", now)
            elif link.stalled_at and now > link.stalled_at + STALL_TIMEOUT:
                self._fail(link, "stalled", now)

    def _open(self, link, now):
        link.opened_at = now
        link.connected = False
        link.pending.clear()
        try:
            link.sock = self._connect(link.address)
        except OSError as exc:
            link.reopen_at = now + REOPEN_DELAY
            self._report_failure(link, exc.errno)
        except Exception:
            # Several kinds of errors mean that the address is invalid.
            loguru.logger.exception(
                "links: cannot open a link to {}", link.address
            )
            link.reopen_at = now + INVALID_ADDRESS_DELAY
            self._report_failure(link, None)

    def _connect(self, address):
        sock = socket.socket()
        try:
            sock.setblocking(False)
            for option in SOCKET_OPTIONS:
                sock.setsockopt(*option)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, ""))
            self._registry.register(sock, address, writable=True)
        except BaseException:
            sock.close()
            raise
        return sock

    def write(self, key: tuple[str, int], now: float) -> None:
        """Go on with a link that is writable."""
        link = self._outgoing.get(key)
        if link is None or link.sock is None:
            return
        if not link.connected:
            result = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if result:
                self._fail(link, errno.errorcode.get(result, ""), now, result)
                return
            link.connected = True
        self._flush(link, now)

    def _flush(self, link, now):
        try:
            sent = link.sock.send(link.pending) if link.pending else 0
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            self._fail(link, repr(exc), now, exc.errno)
            return
        del link.pending[:sent]
        if len(link.pending) > MAX_PENDING_BYTES:
            self._fail(link, "too many pending bytes", now)
            return
        if not link.pending:
            link.stalled_at = None
        elif sent or link.stalled_at is None:
            link.stalled_at = now
        self._registry.watch_writable(
            link.sock, link.address, bool(link.pending)
        )

    def read(self, key: Any, now: float) -> None:
        """Read from a link, or accept a connection."""
        if key == "listener":
            self._accept()
        elif isinstance(key, tuple):
            link = self._outgoing.get(key)
            if link is not None and link.sock is not None:
                self._read_outgoing(link, now)
        elif key in self._incoming:
            self._read_incoming(self._incoming[key], key)

    def _accept(self):
        try:
            sock = self._listener.accept()[0]
        except OSError as exc:
            loguru.logger.debug("links: accept failed: {!r}", exc)
            return
        sock.setblocking(False)
        for option in SOCKET_OPTIONS:
            sock.setsockopt(*option)
        number = sock.fileno()
        self._incoming[number] = _IncomingLink(sock)
        self._registry.register(sock, number)

    def _read_outgoing(self, link, now):
        # The other side never sends on a link that this instance opened.
        code = None
        reason = "closed by the peer"
        try:
            if link.sock.recv(1):
                return
        except BlockingIOError:
            return
        except OSError as exc:
            reason, code = repr(exc), exc.errno
        self._fail(link, reason, now, code)

    def _read_incoming(self, link, number):
        try:
            received = link.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        link.buffer += received
        if received and self._deliver_frames(link.buffer):
            return
        del self._incoming[number]
        self._registry.unregister(link.sock, number)
        link.sock.close()

    def _deliver_frames(self, buffer):
        while len(buffer) >= FRAME_LENGTH.size:
            size = FRAME_LENGTH.unpack_from(buffer)[0]
            if size > wire.FRAME_LIMIT:
                loguru.logger.warning(
                    "links: closed a link: frame of {} bytes is too large",
                    size,
                )
                return False
            end = FRAME_LENGTH.size + size
            if len(buffer) < end:
                break
            raw = bytes(buffer[FRAME_LENGTH.size : end])
            del buffer[:end]
            try:
                self._deliver(pool_codec.decode(raw))
            except errors.BadMessage as exc:
                loguru.logger.warning(
                    "links: closed a link with an invalid message: {}", exc
                )
                return False
        return True

    def _fail(self, link, reason, now, code=None):
        loguru.logger.debug(
            "links: link to {} failed: {}", link.address, reason
        )
        self._close(link)
        link.reopen_at = now + REOPEN_DELAY
        self._report_failure(link, code)

    def _report_failure(self, link, code):
        refused = code == errno.ECONNREFUSED
        msg = pool_messages.LinkFailed(link.address, refused)
        self._deliver(messages.Send(pool_messages.FLEET, msg))

    def _close(self, link):
        if link.sock is None:
            return
        with contextlib.suppress(KeyError, ValueError):
            self._registry.unregister(link.sock, link.address)
        link.sock.close()
        link.sock = None
        link.connected = False
        link.stalled_at = None
        link.pending.clear()


def make_owner(
    address: tuple[str, int],
    make_registry: Callable[[str], sockets.SocketRegistry],
    deliver: actors.Deliver,
) -> sockets.SocketOwner:
    """Make the links of an instance, for the actor that owns them.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    links = Links(address, make_registry(pool_messages.LINKS), deliver)
    return sockets.SocketOwner(
        pool_messages.LINKS,
        links.receive,
        links.read,
        links.write,
        links.check,
        links.next_check,
        links.close,
    )
