import unittest

import hypothesis
from hypothesis import strategies

from cardamompath_core import batches
from cardamompath_core import errors as core_errors
from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompath_core import identity
from cardamompath_core import planner_election
from cardamompath_core import room_reports
from cardamompath_proof.tests.properties import shared
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.peers import errors
from cardamompathd.peers import pool_codec
from cardamompathd.peers import wire

names = strategies.from_regex(r"[a-z0-9][a-z0-9-]{0,62}", fullmatch=True)
nonces = strategies.from_regex(r"[a-z0-9]{8,32}", fullmatch=True)
incarnations = strategies.builds(identity.Incarnation, names, names, nonces)
text_maps = strategies.dictionaries(
    strategies.text(max_size=8), strategies.text(max_size=8), max_size=4
)
requests = strategies.builds(
    wire.RelayRequest,
    strategies.text(max_size=8),
    strategies.text(max_size=30),
    text_maps,
    strategies.binary(max_size=200),
)
STEP = batches.Step(8, executors.Resources(27000, 64, 1), 0.051)
POOL_MESSAGES = (
    fleet_state.Heartbeat(
        planner_election.Member("n-1", "a", ("10.1.0.1", 7), 1700),
        3,
        (("10.1.0.2", 7),),
        room=room_reports.Report(
            0.0,
            (room_reports.SizeRoom("desk", 16000, 2, 3),),
            (room_reports.QueuedWork(1, 0.25),),
            1,
        ),
    ),
    pool_messages.PlanBatch(
        batches.Batch(
            "5c0e",
            "text",
            (STEP, STEP._replace(after=(0,))),
            batches.RoutePolicy("r-1", "desk", 2, 3, 1.6, 0.06),
        ),
        "n-1",
        0.25,
        1.5,
        2,
    ),
    pool_messages.DropBatch("5c0e", "n-1"),
    pool_messages.BatchEnded("5c0e", "n-1", batches.Outcome("x", "y"), "n-2"),
    pool_messages.BatchQuery("5c0e", True, 7, "n-1", ("10.1.0.1", 7)),
    pool_messages.BatchQueryAnswered("5c0e", 7, "n-2", 1700, "active"),
    pool_messages.CancellationsReported(("5c0e", "5c0f"), (0.5, 1.25)),
    pool_messages.OutcomesReported(("5c0e",), ("complete",)),
    pool_messages.ConfigurationOffered(7, b"{}"),
    pool_messages.EvacuationRead(evacuation.make(7, ["a", "b"])),
)
METHODS = {wire.RELAY.name: wire.RELAY}


class IdentityTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(incarnations, strategies.integers(0, 10**18 - 1))
    def test_identifiers_survive_a_round_trip(self, owner, counter):
        key = identity.JobKey(owner, counter)
        text = identity.format_job(key)
        self.assertEqual(key, identity.parse_job(text))
        text = identity.format_incarnation(owner)
        self.assertEqual(owner, identity.parse_incarnation(text))

    @shared.deterministic
    @hypothesis.given(
        strategies.text(max_size=60)
        | strategies.from_regex(r"[a-z0-9.-]{1,80}", fullmatch=True)
        | strategies.from_regex(r"a\.b\.[a-z0-9]{6,9}\.[0-9]{1,3}\n?")
    )
    def test_each_identifier_has_one_text_form(self, text):
        try:
            key = identity.parse_job(text)
        except core_errors.IdentifierError:
            return
        self.assertEqual(text, identity.format_job(key))


class WireTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(requests)
    def test_request_survives_a_round_trip(self, request):
        raw = wire.encode_call(wire.RELAY, request)
        self.assertEqual((wire.RELAY, request), wire.decode_call(raw, METHODS))

    @shared.deterministic
    @hypothesis.given(
        strategies.integers(0, 599), strategies.binary(max_size=99), text_maps
    )
    def test_reply_survives_a_round_trip(self, status, body, headers):
        reply = wire.RelayReply(status, body, headers)
        raw = wire.encode_reply(wire.RELAY, reply)
        self.assertEqual(reply, wire.decode_reply(raw, wire.RELAY))

    @shared.deterministic
    @hypothesis.given(
        requests, strategies.integers(0, 300), strategies.binary(max_size=20)
    )
    def test_corrupt_bytes_raise_only_bad_message(
        self, request, position, junk
    ):
        raw = wire.encode_call(wire.RELAY, request)
        for corrupt in (junk, raw[:position] + junk, junk + raw):
            try:
                wire.decode_call(corrupt, METHODS)
            except errors.BadMessage:
                continue


class PoolCodecTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(
        strategies.sampled_from(POOL_MESSAGES),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 200), strategies.integers(0, 255)
            ),
            min_size=1,
            max_size=3,
        ),
        strategies.binary(max_size=20),
    )
    def test_corrupt_bytes_raise_only_bad_message(self, msg, changes, junk):
        raw = bytearray(pool_codec.encode(msg))
        for position, value in changes:
            raw[position % len(raw)] = value
        for corrupt in (bytes(raw), bytes(raw) + junk, junk):
            try:
                send = pool_codec.decode(corrupt)
            except errors.BadMessage:
                continue
            self.assertIsInstance(send, messages.Send)

    def test_batch_of_any_size_is_rejected(self):
        # A planner allocated each of its tasks, whatever their number.
        plan = POOL_MESSAGES[1]
        sizes = ((2**31 - 1,), (9_000, 9_000), (0,), (8, -1), ())
        for counts in sizes:
            steps = tuple(STEP._replace(count=count) for count in counts)
            batch = plan.batch._replace(steps=steps)
            raw = pool_codec.encode(plan._replace(batch=batch))
            with (
                self.subTest(counts=counts),
                self.assertRaises(errors.BadMessage),
            ):
                pool_codec.decode(raw)
