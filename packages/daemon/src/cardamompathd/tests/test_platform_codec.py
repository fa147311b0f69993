"""The platform adapter's documents, commands and responses."""

import json
import unittest

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import types
from cardamompathd import pool_messages
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import executor_protocol
from cardamompathd.platform import settings

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
    "born": 1700000000000,
    "seq_no": 4,
}
RUN = pool_messages.Run("5c0e", 0, 17, 2)
SPEC = executors.Executor(
    "i-1", "desk", "a", ("10.1.0.9", 8080), 1, "ready", executors.Resources(1)
)


def parse(**changes):
    doc = {**ENTRY, **changes}
    return documents.parse_executor("i-1", json.dumps(doc).encode())


class ExecutorEntryTest(unittest.TestCase):
    def test_entry_is_parsed(self):
        spec = parse()
        self.assertEqual(spec.address, ("10.1.0.9", 8080))
        self.assertEqual(spec.capacity, executors.Resources(16000, 32768, 0))
        self.assertEqual(spec.incarnation, 1700000000000)
        self.assertEqual(spec.model, "a")

    def test_invalid_entry_is_rejected(self):
        faults = (
            {"state": "asleep"},
            {"state": None},
            {"addr": "nowhere"},
            {"addr": 7},
            {"capacity": {"cpu": "many"}},
            {"capacity": {"cpu": -1}},
            {"capacity": []},
            {"labels": [1]},
            {"born": 1.5},
            {"service": None},
        )
        for fault in faults:
            with (
                self.subTest(fault=fault),
                self.assertRaises(errors.BadDocument),
            ):
                parse(**fault)

    def test_entry_with_a_number_out_of_range_is_rejected(self):
        # Such a capacity raised in each tick of the planner, which ended.
        for number in (2**31, 2**63, 10**400):
            for name in ("cpu", "mem_mb", "gpu"):
                with (
                    self.subTest(name=name, bits=number.bit_length()),
                    self.assertRaises(errors.BadDocument),
                ):
                    parse(capacity={"cpu": 8000, "mem_mb": 64, name: number})
        for born in (2**63, 10**400, -1):
            with (
                self.subTest(born=born),
                self.assertRaises(errors.BadDocument),
            ):
                parse(born=born)

    def test_entry_of_unusual_size_is_rejected(self):
        # Each choice of an executor went through all of its labels.
        cases = (
            {"labels": ["x"] * 60_000},
            {"labels": ["x"] * 65},
            {"labels": "a long label"},
            {"labels": ["x" * 256]},
            {"service": "x" * 256},
            {"zone": "x" * 256},
            {"note": "x" * 65_536},
        )
        for case in cases:
            with (
                self.subTest(case=str(case)[:30]),
                self.assertRaises(errors.BadDocument),
            ):
                parse(**case)
        self.assertEqual(len(parse(labels=["x" * 255] * 64).labels), 64)

    def test_reason_of_a_rejection_has_a_bounded_size(self):
        for fault in ({"state": "x" * 60_000}, {"addr": "y" * 60_000}):
            with (
                self.subTest(fault=[*fault]),
                self.assertRaises(errors.BadDocument) as raised,
            ):
                parse(**fault)
            self.assertLess(len(str(raised.exception)), 300)

    def test_entry_with_a_name_that_no_header_can_carry_is_rejected(self):
        # The name is sent in a header of each request to the executor.
        raw = json.dumps(ENTRY).encode()
        for name in ("", "x\r\nHost: y", "x\n", "x y", "\0", "\xe9", "\ud800"):
            with (
                self.subTest(name=name),
                self.assertRaises(errors.BadDocument),
            ):
                documents.parse_executor(name, raw)
        name = "i-7f3a91c2"
        self.assertEqual(documents.parse_executor(name, raw).name, name)

    def test_entry_that_is_no_json_object_is_rejected(self):
        for raw in (b"", b"\xff\x00", b"[]", b"7", b"{"):
            with (
                self.subTest(raw=raw),
                self.assertRaises(errors.BadDocument),
            ):
                documents.parse_executor("i-1", raw)


class JobTest(unittest.TestCase):
    def steps(self, **changes):
        step = {"count": 2, "cpu": 500, "mem_mb": 64, **changes}
        return documents.parse_job({"spec": "x", "phases": [step]})[1]

    def test_step_is_parsed(self):
        step = self.steps(est_runtime_ms=900, required_label="a")[0]
        resources = executors.Resources(500, 64)
        self.assertEqual(step, batches.Step(2, resources, 0.9, (), "a"))

    def test_invalid_job_is_rejected(self):
        faults = (
            {},
            {"phases": []},
            {"phases": {}},
            {"phases": [7]},
            {"phases": [{}]},
            {"phases": [{"count": 0}]},
            {"phases": [{"count": True}]},
            {"phases": [{"count": 841}]},
            {"phases": [{"count": 1, "cpu": -1}]},
            {"phases": [{"count": 1, "cpu": "1"}]},
            {"phases": [{"count": 1, "cpu": 2**63}]},
            {"phases": [{"count": 1, "gpu": 2**31}]},
            {"phases": [{"count": 1, "max_per_server": 2**31}]},
            {"phases": [{"count": 1, "depends_on": [0]}]},
            {"phases": [{"count": 1, "est_runtime_ms": "long"}]},
            {"phases": [{"count": 1, "est_runtime_ms": -1}]},
            {"phases": [{"count": 1, "est_runtime_ms": 1e308}]},
            {"phases": [{"count": 1, "est_runtime_ms": 10**400}]},
            {"phases": [{"count": 1, "est_runtime_ms": float("nan")}]},
            {"spec": 7, "phases": [{"count": 1}]},
            {"spec": "x" * 4001, "phases": [{"count": 1}]},
        )
        for body in faults:
            with (
                self.subTest(body=str(body)[:60]),
                self.assertRaises(errors.BadDocument),
            ):
                documents.parse_job(body)

    def test_unsupported_features_are_named(self):
        step = {"count": 1}
        supported = {"best_effort": True, "phases": [step]}
        self.assertEqual(documents.unsupported_feature(supported), "")
        self.assertTrue(documents.unsupported_feature({"phases": [step]}))
        for field in ("gang", "rack_local", "long_running", "fills"):
            body = {"best_effort": True, "phases": [{**step, field: True}]}
            with self.subTest(field=field):
                self.assertTrue(documents.unsupported_feature(body))
        scheduled = {**supported, "repeat_count": 3}
        self.assertTrue(documents.unsupported_feature(scheduled))


class ConfigurationTest(unittest.TestCase):
    def test_routes_are_parsed(self):
        route = {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "service": "desk",
            "timeout_ms": 1500,
            "target_duration_ms": 60,
            "stretch": 1.6,
            "max_attempts": 2,
        }
        doc = {"version": 7, "routes": [route], "services": []}
        table = documents.parse_configuration(json.dumps(doc).encode())
        found = table.find("a.example", "/x/1")
        self.assertEqual(table.version, 7)
        self.assertEqual(
            found.policy, batches.RoutePolicy("r-1", "desk", 0, 2, 1.6, 0.06)
        )

    def test_invalid_configuration_is_rejected(self):
        for raw in (b"", b"[]", b"{}", b'{"version":"x","routes":[]}'):
            with (
                self.subTest(raw=raw),
                self.assertRaises(errors.BadDocument),
            ):
                documents.parse_configuration(raw)


class CommandTest(unittest.TestCase):
    def decode(self, command, answer):
        call = executor_protocol.encode(command, 10.0)
        return executor_protocol.decode(call, answer).msg

    def start(self):
        return pool_messages.StartRun(SPEC, 7, RUN, "text", 486.0)

    def test_start_is_encoded(self):
        call = executor_protocol.encode(self.start(), 10.0)
        head, _, raw = call.request.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"POST /v1/run-start HTTP/1.1\r\n"))
        self.assertIn(b"Content-Length: %d" % len(raw), head)
        self.assertIn(b"Expect-Instance: i-1", head)
        body = json.loads(raw)
        self.assertEqual(body["task"], "5c0e.0.0.17")
        self.assertEqual(body["attempt"], 2)
        self.assertEqual(body["expires_ms"], 486000)
        self.assertEqual(body["fencing_token"], 7)

    def test_responses_to_a_start(self):
        cases = (
            (types.BackendAnswer("connect"), "unsent"),
            (types.BackendAnswer("send"), "unknown"),
            (types.BackendAnswer("answer"), "unknown"),
            (types.BackendAnswer("done", 200, b"{}"), "started"),
            (types.BackendAnswer("done", 409, b'{"reason":"room"}'), "room"),
            (types.BackendAnswer("done", 409, b'{"reason":"late"}'), "late"),
            (types.BackendAnswer("done", 409, b'{"reason":"old"}'), "old"),
            (
                types.BackendAnswer("done", 409, b'{"reason":"fence"}'),
                "fenced",
            ),
            (types.BackendAnswer("done", 421, b""), "reborn"),
            (types.BackendAnswer("done", 429, b""), "unhealthy"),
            (types.BackendAnswer("done", 503, b"nonsense"), "unhealthy"),
            (types.BackendAnswer("done", 400, b"{}"), "invalid"),
            (types.BackendAnswer("done", 500, b"{}"), "unknown"),
        )
        for answer, result in cases:
            with self.subTest(answer=answer):
                msg = self.decode(self.start(), answer)
                self.assertEqual(msg.result, result)

    def test_listing_is_decoded(self):
        command = pool_messages.HoldExecutor(SPEC, 7, 57, 486.0, 1.0)
        body = {
            "clock_ms": 482113,
            "born": 12,
            "running": [["5c0e.0.0.17", 2, "", 41]],
            "ended_runs": [[58, "5c0e.0.1.9", 1, "done", ""]],
        }
        answer = types.BackendAnswer("done", 200, json.dumps(body).encode())
        msg = self.decode(command, answer)
        self.assertEqual(msg.running, (RUN,))
        ended = pool_messages.Run("5c0e", 1, 9, 1)
        self.assertEqual(
            msg.ended, (pool_messages.EndedRun(58, ended, "done"),)
        )
        self.assertEqual(msg.clock, 482.113)
        self.assertEqual(msg.incarnation, 12)

    def test_invalid_listing_means_a_failed_hold(self):
        command = pool_messages.HoldExecutor(SPEC, 7, 57, None, 0.0)
        for raw in (b"", b"{}", b"[]", b'{"clock_ms":1,"running":[[7]]}'):
            answer = types.BackendAnswer("done", 200, raw)
            with self.subTest(raw=raw):
                msg = self.decode(command, answer)
                self.assertIsInstance(msg, pool_messages.HoldFailed)
                self.assertFalse(msg.fenced)

    def test_hold_tells_a_refused_connection_from_silence(self):
        command = pool_messages.HoldExecutor(SPEC, 7, 57, None, 0.0)
        refused = types.BackendAnswer("connect", aborted=True)
        silent = types.BackendAnswer("answer", error="timed out")
        self.assertTrue(self.decode(command, refused).aborted)
        self.assertFalse(self.decode(command, silent).aborted)

    def test_hold_reports_a_stale_fencing_token(self):
        command = pool_messages.HoldExecutor(SPEC, 7, 57, None, 0.0)
        answer = types.BackendAnswer("done", 409, b'{"reason":"fence"}')
        self.assertTrue(self.decode(command, answer).fenced)


class AddressTest(unittest.TestCase):
    def test_address_without_a_port_is_an_error(self):
        self.assertEqual(settings.parse_address("1.2.3.4:5"), ("1.2.3.4", 5))
        for text in ("", "1.2.3.4", "1.2.3.4:x"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                settings.parse_address(text)

    def test_port_out_of_range_is_an_error(self):
        # Connecting there raised in the task that owns all sockets.
        ports = ("0", "-1", "65536", "70000", "9" * 400, "9" * 5000)
        for port in (*ports, "1_0", " 80", "+80", "\uff18\uff10", ""):
            with self.subTest(port=port[:9]), self.assertRaises(ValueError):
                settings.parse_address(f"1.2.3.4:{port}")
        for port in (1, 65535):
            address = settings.parse_address(f"1.2.3.4:{port}")
            self.assertEqual(address, ("1.2.3.4", port))

    def test_host_that_is_no_ipv4_address_is_an_error(self):
        # Connecting to it would look up a name, or raise.
        hosts = ("evil.example", "a..b", "1.2.3.4\0", "::1", "[::1]", "1.2.3")
        for host in (*hosts, "256.1.1.1", "010.1.1.1", "\ud800", "x" * 300):
            with self.subTest(host=host[:9]), self.assertRaises(ValueError):
                settings.parse_address(f"{host}:80")
