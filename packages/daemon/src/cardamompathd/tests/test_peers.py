"""Calls between instances over real sockets: relays and the transport."""

import json
import queue
import socket
import threading
import unittest

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import filters
from cardamompathd import messages
from cardamompathd.callers import handlers
from cardamompathd.filters import chain
from cardamompathd.peers import client
from cardamompathd.peers import errors
from cardamompathd.peers import relay
from cardamompathd.peers import server
from cardamompathd.peers import traffic
from cardamompathd.peers import wire
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks

LOOPBACK = ("127.0.0.1", 0)
CFG = types.Configuration(1, 0, (types.ServiceSpec("booking"),))
BODY = {"service": "booking", "tasks": [{"payload": "é" * 500}] * 3}


def is_closed(conn):
    try:
        return conn.recv(1) == b""
    except ConnectionResetError:
        return True


class Instance:
    """An instance on loopback with a backend server that echoes payloads."""

    def __init__(self, name):
        owner = identity.Incarnation("pocitos", name, "0123456789ab")
        self.starts = []
        table = {
            messages.CALLERS: lambda msg: msg.reply_to.set(msg.answer),
            messages.TIMERS: lambda msg: None,
            messages.BACKENDS: self.run,
            messages.TELEMETRY: lambda msg: None,
        }
        self.actor = actors.ControllerActor.start(
            [
                controllers.jobs.jobs.make_controller(owner),
                controllers.journal.journal.make_controller(
                    owner, lambda: "unused"
                ),
            ],
            actors.make_router(table),
            clocks.boottime,
        )
        self.tell(messages.ConfigurationChanged(CFG))
        handler = handlers.make_handler(asking.make_ask(self.tell), 1 << 20)
        self.handler = chain.compose([filters.paths.read_wait], handler)
        method_handler = relay.make_method_handler(self.handler)
        self.peers = server.start(LOOPBACK, [method_handler])

    def tell(self, msg):
        self.actor.tell(messages.Send(messages.JOBS, msg))

    def run(self, msg):
        if not isinstance(msg, messages.Enqueue):
            return
        for index, task in enumerate(msg.spec.tasks):
            self.starts.append((msg.job, index))
            done = types.TaskResult("finished", 200, task.payload, "e-1")
            ref = types.TaskRef(msg.job, index)
            self.tell(messages.TaskSettled(ref, done))

    def connect(self, *ports):
        addresses = [("127.0.0.1", port) for port in ports]
        relay_request = relay.make_relay(addresses, clocks.boottime)
        self.chain = chain.compose(
            [
                filters.paths.read_wait,
                filters.relay.make_filter(relay_request),
            ],
            self.handler,
        )

    def ask(self, method, path, body=None):
        req = chain.Request(
            method, path, {"wait": "5"}, {}, bytes, body=body or {}
        )
        return self.chain(req)

    def stop(self):
        self.peers.stop()
        self.actor.stop()


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.owner, self.other = Instance("entry-1"), Instance("entry-2")
        self.owner.connect(self.other.peers.port)
        self.other.connect(self.owner.peers.port)
        self.addCleanup(self.owner.stop)
        self.addCleanup(self.other.stop)
        job = self.owner.ask("POST", "/v1/jobs").body["job"]
        self.path = f"/v1/jobs/{job}"

    def test_each_instance_returns_the_complete_answer(self):
        first = self.owner.ask("PUT", self.path, BODY)
        again = self.other.ask("PUT", self.path, BODY)
        asked = self.other.ask("GET", self.path)
        self.assertEqual(200, first.status)
        self.assertEqual("é" * 500, first.body["tasks"][2]["payload"])
        self.assertEqual(first, again)
        self.assertEqual(first, asked)
        self.assertEqual(3, len(self.owner.starts))
        self.assertEqual([], self.other.starts)

    def test_submission_through_another_instance_starts_at_the_owner(self):
        answer = self.other.ask("PUT", self.path, BODY)
        self.assertEqual("complete", answer.body["outcome"])
        self.assertEqual(
            (3, 0), (len(self.owner.starts), len(self.other.starts))
        )

    def test_job_of_an_unreachable_owner_is_pending(self):
        self.owner.peers.stop()
        answer = self.other.ask("PUT", self.path, BODY)
        self.assertEqual(202, answer.status)
        self.assertEqual("pending", answer.body["outcome"])

    def test_address_from_the_membership_is_preferred(self):
        self.other.connect()
        view = types.PeerView(
            self.path.split("/")[3].rpartition(".")[0],
            "127.0.0.1",
            self.owner.peers.port,
            "alive",
        )
        dead = view._replace(port=9, status="dead")
        self.other.tell(messages.PeersChanged((view, dead)))
        self.assertEqual(200, self.other.ask("PUT", self.path, BODY).status)

    def test_relayed_request_is_not_relayed_again(self):
        request = wire.RelayRequest("GET", self.path, {}, b"null")
        address = ("127.0.0.1", self.other.peers.port)
        reply = client.call(address, wire.RELAY, request, 5.0)
        self.assertEqual(wire.RelayReply(0, b"", {}), reply)


class TransportTest(unittest.TestCase):
    def start(self, handle, limits=None):
        method_handlers = [server.MethodHandler(wire.RELAY, handle)]
        listener = server.start(LOOPBACK, method_handlers, limits)
        self.addCleanup(listener.stop)
        return ("127.0.0.1", listener.port)

    def test_malformed_bytes_close_only_their_connection(self):
        address = self.start(lambda _: wire.RelayReply(200, b"{}"))
        request = wire.RelayRequest("GET", "/", {}, b"x")
        call = wire.encode_call(wire.RELAY, request)
        frames = [
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff\xff\xff\xff",
            b"\x00\x00\x00\x04abcd",
            len(call).to_bytes(4) + call[:-9] + b"\xff" * 9,
            len(call).to_bytes(4) + call.replace(b"relay", b"delay"),
        ]
        for frame in frames:
            with socket.create_connection(address, 5.0) as conn:
                conn.sendall(frame)
                self.assertTrue(is_closed(conn))
        reply = client.call(address, wire.RELAY, request, 5.0)
        self.assertEqual(200, reply.status)

    def test_both_ends_count_the_same_frames(self):
        method_handler = server.MethodHandler(
            wire.RELAY, lambda _: wire.RelayReply(200, b"{}")
        )
        counted = queue.Queue()
        listener = server.start(
            LOOPBACK,
            [method_handler],
            count=traffic.make_byte_counter(counted.put),
        )
        self.addCleanup(listener.stop)
        address = ("127.0.0.1", listener.port)
        request = wire.RelayRequest("GET", "/", {}, b"x" * 99)
        call = traffic.make_counting_call(counted.put)
        call(address, wire.RELAY, request, 5.0)
        ends = [counted.get(timeout=5.0) for _ in range(2)]
        self.assertEqual({ends[0]}, {ends[1][::-1]})
        sent = len(wire.encode_call(wire.RELAY, request)) + 4
        self.assertEqual(sent, max(ends[0]))

    def test_missing_field_is_a_bad_message(self):
        raw = wire.encode_call(wire.RELAY, wire.RelayReply(1, b""))
        with self.assertRaises(errors.BadMessage):
            wire.decode_call(raw, {"relay": wire.RELAY})

    def test_missing_reply_and_refused_connection_differ(self):
        released = threading.Event()
        self.addCleanup(released.set)

        def wait(_):
            released.wait()
            return wire.RelayReply(200, b"{}")

        address = self.start(wait)
        request = wire.RelayRequest("GET", "/", {}, b"")
        with self.assertRaises(errors.PeerNoReply):
            client.call(address, wire.RELAY, request, 0.05)
        with self.assertRaises(errors.PeerUnreachable):
            client.call(("127.0.0.1", 9), wire.RELAY, request, 0.05)

    def test_relays_leave_threads_to_other_methods(self):
        entered, released = threading.Semaphore(0), threading.Event()
        self.addCleanup(released.set)

        def handler(req):
            entered.release()
            released.wait()
            return chain.Response(200, {})

        method_handler = relay.make_method_handler(handler)
        request = wire.RelayRequest("GET", "/", {}, json.dumps({}).encode())
        for _ in range(relay.MAX_CONCURRENT):
            threading.Thread(
                target=method_handler.handle, args=(request,), daemon=True
            ).start()
            entered.acquire()
        self.assertEqual(0, method_handler.handle(request).status)
