"""Links between instances: one task owns all their sockets.

An instance sends on the links that it opened and reads those that
others opened to it.  A link that breaks is opened again; what was
underway is lost, as the senders repeat what matters.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable
from typing import Any

import loguru
import pykka

from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.peers import errors
from cardamompathd.peers import pool_codec
from cardamompathd.peers import wire
from cardamompathd.runtime import inboxes

__all__ = [
    "LinksActor",
]

REOPEN = 0.2
"""Seconds until a link that broke is opened again."""
CONNECT_TIME = 0.5
"""Seconds for a link to open; a lost opening packet costs a second."""
STALL = 0.6
"""Seconds for which a link may take no bytes before it is replaced;
about the silence after which its instance counts as gone."""
MOST_PENDING = 4 << 20
"""Bytes that wait on one link; beyond that it is replaced."""
READ_SIZE = 1 << 16
BACKLOG = 128
LENGTH = struct.Struct("!I")

OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000),
)


class _Outgoing:
    __slots__ = (
        "address", "awaits_write", "connected", "opened_at", "pending",
        "reopen_at", "sock", "stalled_at",
    )  # fmt: skip

    def __init__(self, address):
        self.address = address
        self.sock: socket.socket | None = None
        self.awaits_write = False
        self.connected = False
        self.opened_at = 0.0
        self.reopen_at = 0.0
        self.stalled_at: float | None = None
        self.pending = bytearray()


class _Incoming:
    __slots__ = ("buffer", "sock")

    def __init__(self, sock):
        self.sock = sock
        self.buffer = bytearray()


class LinksActor(pykka.ThreadingActor):
    """Owns the links to and from the other instances.

    Parameters
    ----------
    address : tuple of str and int
        Where the others open their links.
    deliver : callable
        Called with a `Send` for each message that arrives.
    clock : callable
        Returns the present time in seconds.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    use_daemon_thread = True

    def __init__(
        self,
        address: tuple[str, int],
        deliver: Callable[[messages.Send], None],
        clock: Callable[[], float],
    ):
        super().__init__()
        self._deliver = deliver
        self._clock = clock
        self._outgoing: dict[tuple[str, int], _Outgoing] = {}
        self._incoming: dict[int, _Incoming] = {}
        self._repair_at = 0.0
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        self.actor_inbox.register(self._listener, "listener")

    @staticmethod
    def _create_actor_inbox():
        return inboxes.SelectorInbox()

    def on_receive(self, message: Any) -> None:
        """Send, read or repair."""
        now = self._clock()
        if isinstance(message, messages.Send):
            self._obey(message.msg, now)
        elif isinstance(message, inboxes.Readable):
            self._read(message.key, now)
        elif isinstance(message, inboxes.Writable):
            self._write(message.key, now)
        if now >= self._repair_at:
            self._repair(now)

    def on_stop(self) -> None:
        """Close every socket."""
        for link in self._outgoing.values():
            self._close(link)
        for link in self._incoming.values():
            link.sock.close()
        self._listener.close()
        self.actor_inbox.close()

    def _obey(self, msg, now):
        if isinstance(msg, pool_messages.SetLink):
            self._keep_or_drop(msg, now)
            return
        addresses = (
            msg.addresses
            if isinstance(msg, pool_messages.SendToMembers)
            else (msg.address,)
        )
        raw = pool_codec.encode(msg.msg)
        frame = LENGTH.pack(len(raw)) + raw
        for address in addresses:
            link = self._outgoing.get(address)
            if link is None or link.sock is None:
                continue
            link.pending += frame
            if link.connected:
                self._flush(link, now)

    def _keep_or_drop(self, msg, now):
        if not msg.keep:
            link = self._outgoing.pop(msg.address, None)
            if link is not None:
                self._close(link)
        elif msg.address not in self._outgoing:
            link = self._outgoing[msg.address] = _Outgoing(msg.address)
            self._open(link, now)

    def _repair(self, now):
        for link in list(self._outgoing.values()):
            if link.sock is None:
                if now >= link.reopen_at:
                    self._open(link, now)
            elif not link.connected and now > link.opened_at + CONNECT_TIME:
                self._fail(link, "no answer to the opening", now)
            elif link.stalled_at and now > link.stalled_at + STALL:
                self._fail(link, "takes no bytes", now)
        self._repair_at = now + REOPEN / 2.0
        self.actor_inbox.set_due(self._repair_at, self._clock)

    def _open(self, link, now):
        link.sock = sock = socket.socket()
        link.opened_at = now
        link.connected = False
        link.pending.clear()
        sock.setblocking(False)
        for option in OPTIONS:
            sock.setsockopt(*option)
        result = sock.connect_ex(link.address)
        if result not in (0, errno.EINPROGRESS):
            sock.close()
            link.sock = None
            link.reopen_at = now + REOPEN
            self._tell_failed(link, result)
            return
        self.actor_inbox.register(sock, link.address)
        self.actor_inbox.await_write(sock, link.address, True)
        link.awaits_write = True

    def _write(self, key, now):
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
        if len(link.pending) > MOST_PENDING:
            self._fail(link, "too many bytes wait", now)
            return
        if not link.pending:
            link.stalled_at = None
        elif sent or link.stalled_at is None:
            link.stalled_at = now
        waits = bool(link.pending)
        if waits != link.awaits_write:
            link.awaits_write = waits
            self.actor_inbox.await_write(link.sock, link.address, waits)

    def _read(self, key, now):
        if key == "listener":
            self._accept()
        elif isinstance(key, tuple):
            link = self._outgoing.get(key)
            if link is not None and link.sock is not None:
                self._read_own(link, now)
        elif key in self._incoming:
            self._read_incoming(self._incoming[key], key)

    def _accept(self):
        try:
            sock = self._listener.accept()[0]
        except OSError as exc:
            loguru.logger.debug("links: accept failed: {!r}", exc)
            return
        sock.setblocking(False)
        for option in OPTIONS:
            sock.setsockopt(*option)
        number = sock.fileno()
        self._incoming[number] = _Incoming(sock)
        self.actor_inbox.register(sock, number)

    def _read_own(self, link, now):
        # Nothing is ever said on a link towards the one who opened it.
        code = None
        reason = "closed by the other side"
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
            got = link.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            got = b""
        link.buffer += got
        if got and self._take_frames(link.buffer):
            return
        del self._incoming[number]
        self.actor_inbox.unregister(link.sock)
        link.sock.close()

    def _take_frames(self, buffer):
        while len(buffer) >= LENGTH.size:
            size = LENGTH.unpack_from(buffer)[0]
            if size > wire.FRAME_LIMIT:
                loguru.logger.warning("links: a frame of {} bytes", size)
                return False
            end = LENGTH.size + size
            if len(buffer) < end:
                break
            raw = bytes(buffer[LENGTH.size : end])
            del buffer[:end]
            try:
                self._deliver(pool_codec.decode(raw))
            except errors.BadMessage as exc:
                loguru.logger.warning("links: {}", exc)
                return False
        return True

    def _fail(self, link, reason, now, code=None):
        loguru.logger.debug("links: {}: {}", link.address, reason)
        self._close(link)
        link.reopen_at = now + REOPEN
        self._tell_failed(link, code)

    def _tell_failed(self, link, code):
        refused = code == errno.ECONNREFUSED
        msg = pool_messages.LinkFailed(link.address, refused)
        self._deliver(messages.Send(pool_messages.FLEET, msg))

    def _close(self, link):
        if link.sock is None:
            return
        with contextlib.suppress(KeyError, ValueError):
            self.actor_inbox.unregister(link.sock)
        link.sock.close()
        link.sock = None
        link.connected = False
        link.stalled_at = None
        link.pending.clear()
