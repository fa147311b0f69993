"""What others send to an instance on the platform, in any shape.

A malformed document or response costs itself, never its task: parsers raise
only their own error, and every call to an executor gets its answer.
"""

import base64
import itertools
import json
import pathlib
import socket
import struct
import tempfile
import unittest
from typing import NamedTuple

import hypothesis
from hypothesis import strategies

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompath_core import types
from cardamompath_proof.tests.properties import shared
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.planner import planner
from cardamompathd.peers import pool_codec
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import executor_followers
from cardamompathd.platform import executor_protocol
from cardamompathd.platform import settings
from cardamompathd.platform import store

RUN = pool_messages.Run("5c0e", 0, 1, 1)
SPEC = executors.Executor(
    "x", "desk", "a", ("h", 1), 1, "ready", executors.Resources(1, 1), ()
)
COMMANDS = (
    pool_messages.StartRun(SPEC, 7, RUN, "s", 9.0),
    pool_messages.StopRun(SPEC, 7, RUN),
    pool_messages.HoldExecutor(SPEC, 7, 3, None, 0.0),
    pool_messages.ProbeExecutor(SPEC),
)
SETTINGS = {
    "node_name": 'node_name = "edge-1"',
    "zone": 'zone = "a"',
    "seeds": 'seeds = ["10.2.0.30:8166"]',
    "listen": (
        'listen = {frontend = "10.1.0.13:8161", ready = "10.1.0.13:8167",'
        ' control = "10.1.0.13:8166"}'
    ),
    "platform": 'platform = {addr = "10.200.1.7:8169"}',
    "limits": "limits = {cpu_share = 0.537}",
    "bounds": "bounds = {remote_factor = 1.5, evacuate_ms = 5_000}",
}
"""The lines of a valid settings file, by field."""
ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path_prefix": "/a/",
    "service": "desk",
}
ROUTE_NUMBERS = {
    "version": 1,
    "priority": 1,
    "max_attempts": 2,
    "stretch": 1.6,
    "target_duration_ms": 60,
    "timeout_ms": 1500,
}
"""Numbers of a route; the version is that of the whole document."""
STEP = {
    "count": 2,
    "cpu": 500,
    "mem_mb": 64,
    "gpu": 1,
    "est_runtime_ms": 900,
    "max_per_server": 3,
}
ENTRY = {
    "service": "desk",
    "addr": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1700,
    "seq_no": 4,
}
"""The valid entry of an executor."""
DEEP = b'{"a":' * 40_000


numbers = (
    strategies.integers(0, 9)
    | strategies.integers(-(2**70), 2**70)
    | strategies.sampled_from((2**31 - 1, 2**31, 2**63 - 1, 2**63, 10**400))
    | strategies.floats()
)


def documents_with(*names):
    """Documents in which some fields have the names that are expected."""
    return strategies.dictionaries(
        strategies.sampled_from(names) | strategies.text(max_size=4),
        shared.json_values
        | strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from(names), shared.json_values
            ),
            max_size=3,
        ),
    )


class StoreResponse(NamedTuple):
    """A response of the store."""

    data: bytes
    status: int = 200


class StoreInputsTest(unittest.TestCase):
    """Responses of the store; they mean records, or that it is unavailable."""

    def read(self, raw):
        client = store.make_client(("127.0.0.1", 1))
        client._call = lambda *_, **__: StoreResponse(raw)
        for read, args in (
            (client.read_newest, ("keyed.servers",)),
            (client.read, ("keyed.servers", 7, 0.0)),
        ):
            try:
                records, end = read(*args)
            except errors.StoreUnavailable:
                continue
            self.assertIs(type(end), int)
            for key, value in records:
                self.assertIs(type(key), str)
                self.assertIs(type(value), bytes)

    @shared.deterministic
    @hypothesis.given(
        documents_with("items", "end_offset", "has_more", "key", "value"),
        strategies.binary(max_size=20),
    )
    def test_response_of_any_shape(self, doc, junk):
        raw = json.dumps(doc).encode()
        header = store.READ_HEADER.pack(9, 0)
        length = struct.pack("!I", len(junk))
        for text in (raw, junk, header + junk, header + length + junk):
            self.read(text)

    def test_response_with_fields_of_another_type(self):
        # Each poll failed on them with an error that is not expected.
        for raw in (
            "[]",
            '{"end_offset":1,"items":[[]]}',
            '{"end_offset":1,"items":[{"key":7,"value":"e30="}]}',
            '{"end_offset":1,"items":[{"key":"a","value":null}]}',
            '{"end_offset":null,"items":[]}',
            '{"end_offset":1.5,"items":[]}',
            DEEP.decode(),
        ):
            with self.subTest(raw=raw[:60]):
                self.read(raw.encode())


class OddEntryTest(unittest.TestCase):
    """One odd entry on the way from the store to requests of a planner.

    It names no executor, or one to which requests can be sent; the other
    entries hold.
    """

    def setUp(self):
        self.now = 10.0
        self.listings = []
        client = store.make_client(("127.0.0.1", 1))
        client._call = lambda *_, **__: StoreResponse(self.page)
        self.follower = executor_followers.ExecutorFollower(
            client, self.listings.append, lambda: self.now
        )
        tokens = itertools.count(7)
        self.planner = planner.make_controller(
            "n-1", lambda: next(tokens), 0.0
        ).receive
        member = planner_election.Member("n-1", "a", ("10.1.0.1", 7), 1700)
        self.tell(fleet_views.make_view(member, (member,), ()))

    def tell(self, msg):
        """Send a message to the planner; answer its requests."""
        for send in self.planner(msg, self.now):
            if send.to != pool_messages.EXECUTORS:
                continue
            if isinstance(send.msg, pool_messages.DisconnectExecutor):
                continue
            call = executor_protocol.encode(send.msg, self.now)
            self.assertEqual(call.request.count(b"\r\n"), 6)
            host, port = send.msg.executor.address
            self.assertEqual(socket.inet_ntoa(socket.inet_aton(host)), host)
            self.assertIn(port, range(1, 65536))
            self.started |= isinstance(send.msg, pool_messages.StartRun)
            if getattr(send.msg, "wait", 0.0) == 0.0:
                payload = b'{"clock_ms":%d}' % (self.now * 1000.0)
                answer = types.BackendAnswer("done", 200, payload)
                self.tell(executor_protocol.decode(call, answer).msg)

    def list_entries(self, entries):
        items = [
            {"key": key, "value": base64.b64encode(raw).decode()}
            for key, raw in entries.items()
        ]
        doc = {"items": items, "end_offset": 9}
        self.page = json.dumps(doc).encode()
        self.follower._poll()
        names = {spec.name for spec in self.listings[-1].executors}
        self.tell(self.listings[-1])
        for _ in range(5):
            self.now += 0.05
            self.tell(messages.TimerFired("tick"))
        return names

    def check(self, key, raw):
        """List an odd entry with a valid one, and run a batch on that."""
        self.started = False
        valid = json.dumps(ENTRY).encode()
        self.assertIn("i-1", self.list_entries({"i-1": valid, key: raw}))
        step = documents.parse_job({"phases": [{"count": 1, "cpu": 500}]})[1]
        policy = batches.RoutePolicy("r", "desk", 0, 2, 1.6, 0.06)
        batch = batches.Batch(f"j{self.now}", "", step, policy)
        self.tell(pool_messages.PlanBatch(batch, "n-1", 0.0, 9.0, 0))
        names = self.list_entries({"i-1": valid, key: raw})
        self.assertTrue(self.started)
        return key in names

    @shared.deterministic
    @hypothesis.given(
        strategies.sampled_from((*ENTRY, "cpu", "mem_mb", "gpu")),
        numbers | shared.json_values,
        strategies.text(max_size=9),
    )
    def test_any_value_of_any_field(self, field, value, key):
        self.setUp()
        doc = {**ENTRY, field: value}
        if field not in ENTRY:
            doc = {**ENTRY, "capacity": {**ENTRY["capacity"], field: value}}
        raw = json.dumps(doc).encode()
        self.check("i-2", raw)
        if key not in ("", "i-1"):
            self.check(key, raw)

    @shared.deterministic
    @hypothesis.given(strategies.binary(max_size=40))
    def test_any_bytes(self, raw):
        self.setUp()
        self.check("i-2", raw)

    def test_entries_out_of_bounds_name_no_executor(self):
        for depth in (10, 500, 990, 5000, 100_000):
            for nested in ("[" * depth + "]" * depth, '{"a":' * depth):
                raw = json.dumps(ENTRY)[:-1] + f',"capacity":{nested}}}'
                with self.subTest(depth=depth):
                    self.assertFalse(self.check("i-2", raw.encode()))
        for fields in (
            {"addr": "10.1.0.9:70000"},
            {"addr": "10.1.0.9:-1"},
            {"addr": "evil.example:80"},
            {"born": 10**400},
            {"capacity": {"cpu": 10**400, "mem_mb": 1, "gpu": 0}},
            {"capacity": {"cpu": float("inf")}},
            {"zone": "\ud800"},
            {"labels": ["a"] * 10_000},
        ):
            raw = json.dumps({**ENTRY, **fields}).encode()
            with self.subTest(fields=str(fields)[:60]):
                self.assertFalse(self.check("i-2", raw))


class SettingsFileTest(unittest.TestCase):
    """The settings file, which is read again while the instance runs."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "settings.toml")
            file.write_text(text, encoding="utf-8")
            try:
                return settings.load(str(file))
            except errors.BadSettings:
                return None

    def test_file_is_loaded(self):
        cfg = self.load("\n".join(SETTINGS.values()))
        self.assertEqual(cfg.seeds, (("10.2.0.30", 8166),))
        self.assertEqual(cfg.thread_millicores, 537)
        self.assertEqual(cfg.remote_rack_factor, 1.5)
        self.assertEqual(cfg.evacuation_bound, 5.0)

    def test_field_of_another_type_or_out_of_range(self):
        # Any error but that of the parser ended the process at a reload.
        deep = "[" * 10_000 + "]" * 10_000
        faults = {
            "node_name": ("node_name = 7", "node_name = []", ""),
            "zone": ("zone = 1.5", f"zone = {deep}"),
            "seeds": (
                "seeds = [7]",
                "seeds = 7",
                'seeds = ["10.2.0.30:70000"]',
                'seeds = ["a.example:1"]',
            ),
            "listen": ("listen = 7", 'listen = "a"', "listen = []"),
            "platform": ("platform = 7", 'platform = {addr = "1.2.3.4:0"}'),
            "limits": (
                "limits = 7",
                "limits = {cpu_share = inf}",
                "limits = {cpu_share = -1}",
                'limits = {cpu_share = "a"}',
            ),
            "bounds": (
                "bounds = []",
                "bounds = {remote_factor = nan}",
                "bounds = {evacuate_ms = 0}",
                "bounds = {evacuate_ms = inf}",
                'bounds = {evacuate_ms = "soon"}',
                f"bounds = {{remote_factor = 1{'0' * 400}}}",
            ),
        }
        for name, texts in faults.items():
            for text in texts:
                fields = {**SETTINGS, name: text}
                with self.subTest(text=text[:60]):
                    self.assertIsNone(self.load("\n".join(fields.values())))


class PlatformInputsTest(unittest.TestCase):
    def parse(self, parser, *args):
        """Run a parser, which may raise its own error only."""
        try:
            parser(*args)
        except errors.BadDocument:
            return

    @shared.deterministic
    @hypothesis.given(
        documents_with("version", "routes", "services", "name", "host"),
        strategies.binary(max_size=20),
    )
    def test_configuration(self, doc, junk):
        raw = json.dumps(doc).encode()
        for text in (raw, junk, raw + junk):
            self.parse(documents.parse_configuration, text)

    def test_nesting_of_any_depth(self):
        self.parse(documents.parse_configuration, DEEP)
        self.parse(documents.parse_executor, "x", DEEP)
        call = executor_protocol.encode(COMMANDS[2], 0.0)
        answer = types.BackendAnswer("done", 200, DEEP)
        send = executor_protocol.decode(call, answer)
        self.assertIsInstance(send.msg, pool_messages.HoldFailed)

    def test_version_of_any_size(self):
        # An infinite version ended the task that follows the store.
        for version in ("1e999", "-1e999", "NaN", "[]", "null"):
            raw = b'{"version":%s,"routes":[]}' % version.encode()
            with self.subTest(version=version):
                self.parse(documents.parse_configuration, raw)

    def test_route_with_names_of_another_type(self):
        # Such a route was taken, and failed each request that came after.
        for field in ("name", "service", "host", "path_prefix"):
            route = dict.fromkeys(
                ("name", "service", "host", "path_prefix"), "/a/"
            )
            route[field] = 7
            raw = json.dumps({"version": 1, "routes": [route]}).encode()
            with (
                self.subTest(field=field),
                self.assertRaises(errors.BadDocument),
            ):
                documents.parse_configuration(raw)

    @shared.deterministic
    @hypothesis.given(
        documents_with("state", "service", "zone", "addr", "capacity", "born"),
        strategies.binary(max_size=20),
    )
    def test_executor(self, doc, junk):
        raw = json.dumps(doc).encode()
        for text in (raw, junk, raw + junk):
            self.parse(documents.parse_executor, "x", text)

    @shared.deterministic
    @hypothesis.given(numbers)
    def test_whatever_is_accepted_can_be_sent_to_other_instances(self, number):
        # A batch or a heartbeat that cannot be encoded is lost.
        for name in ROUTE_NUMBERS:
            self.send({**ROUTE, **ROUTE_NUMBERS, name: number}, STEP)
        for name in STEP:
            self.send({**ROUTE, **ROUTE_NUMBERS}, {**STEP, name: number})

    def send(self, route, step):
        doc = {"version": route.pop("version"), "routes": [route]}
        try:
            table = documents.parse_configuration(json.dumps(doc).encode())
            steps = documents.parse_job({"phases": [step]})[1]
        except errors.BadDocument:
            return
        policy = table.find("a.example", "/a/1").policy
        batch = batches.Batch("j", "", steps, policy)
        msg = pool_messages.PlanBatch(batch, "n-1", 0.0, 9.0, 0)
        sent = pool_codec.decode(pool_codec.encode(msg)).msg
        self.assertEqual(sent.batch.steps[0].resources, steps[0].resources)
        member = planner_election.Member("n-1", "a", ("10.1.0.1", 7), 1700)
        pool_codec.encode(fleet_state.Heartbeat(member, table.version, ()))

    def test_configuration_with_a_number_out_of_range(self):
        for name in ("version", "priority", "max_attempts", "stretch"):
            for number in (-1, 10**400, 1e308):
                doc = {"version": 1, "routes": [ROUTE | {name: number}]}
                if name == "version":
                    doc = {"version": number, "routes": [ROUTE]}
                with (
                    self.subTest(name=name, number=str(number)[:9]),
                    self.assertRaises(errors.BadDocument),
                ):
                    documents.parse_configuration(json.dumps(doc).encode())

    @shared.deterministic
    @hypothesis.given(
        documents_with("spec", "phases", "count", "cpu", "depends_on")
    )
    def test_job(self, doc):
        self.parse(documents.parse_job, doc)

    @shared.deterministic
    @hypothesis.given(
        documents_with("reason", "clock_ms", "running", "ended_runs", "born"),
        strategies.sampled_from((200, 400, 409, 421, 429, 500, 503)),
        strategies.binary(max_size=20),
    )
    def test_every_call_to_an_executor_gets_its_answer(
        self, doc, status, junk
    ):
        # An answer that could not be decoded left a hold pending for good.
        raw = json.dumps(doc).encode()
        for command in COMMANDS:
            call = executor_protocol.encode(command, 0.0)
            for payload in (raw, junk):
                answer = types.BackendAnswer("done", status, payload)
                send = executor_protocol.decode(call, answer)
                self.assertIsInstance(send, messages.Send)

    @shared.deterministic
    @hypothesis.given(
        strategies.floats(width=64) | strategies.integers(),
        strategies.integers(min_value=-(2**70), max_value=2**70),
    )
    def test_next_hold_after_a_listing_can_be_sent(self, clock, number):
        # A clock beyond 64 bits could not be sent back as the end of a lease.
        row = [number, "a.0.0.1", abs(number), "done", ""]
        doc = {"clock_ms": clock, "born": number, "ended_runs": [row]}
        payload = json.dumps(doc).encode()
        call = executor_protocol.encode(COMMANDS[2], 0.0)
        answer = types.BackendAnswer("done", 200, payload)
        msg = executor_protocol.decode(call, answer).msg
        if isinstance(msg, pool_messages.HoldFailed):
            return
        ended = msg.ended[0]
        hold = pool_messages.HoldExecutor(
            SPEC, msg.token, ended.number, msg.clock + 1.0, 0.0
        )
        run = ended.run._replace(attempt=ended.run.attempt + 1)
        start = pool_messages.StartRun(SPEC, 7, run, "s", msg.clock + 1.0)
        for command in (hold, start):
            executor_protocol.encode(command, 0.0)

    def test_listing_with_numbers_out_of_range(self):
        for fields in (
            '"clock_ms":99999999999999999999999',
            '"clock_ms":-1',
            '"clock_ms":1,"born":1e300',
            '"clock_ms":1,"born":18446744073709551615',
            '"clock_ms":1,"ended_runs":[[-1,"a.0.0.1",1,"done",""]]',
            '"clock_ms":1,"running":[["a.0.0.1",18446744073709551615,"",1]]',
        ):
            payload = f"{{{fields}}}".encode()
            call = executor_protocol.encode(COMMANDS[2], 0.0)
            answer = types.BackendAnswer("done", 200, payload)
            with self.subTest(payload=payload):
                send = executor_protocol.decode(call, answer)
                self.assertIsInstance(send.msg, pool_messages.HoldFailed)

    def test_listing_with_fields_of_another_type(self):
        rows = ('[[7,2,"",41]]', '[["a.0.0.1",[],"",41]]', '{"a":1}', "7")
        for row in rows:
            for field in ("running", "ended_runs"):
                payload = f'{{"clock_ms":1,"{field}":{row}}}'.encode()
                call = executor_protocol.encode(COMMANDS[2], 0.0)
                answer = types.BackendAnswer("done", 200, payload)
                with self.subTest(payload=payload):
                    send = executor_protocol.decode(call, answer)
                    self.assertIsInstance(send.msg, pool_messages.HoldFailed)
