import json
import unittest

import hypothesis
from hypothesis import strategies
from returns import pipeline

from cardamompath_core import types
from cardamompath_proof.tests.properties import shared
from cardamompathd.callers import codec

MAX_PAYLOAD = 200

states = strategies.sampled_from(
    ("finished", "failed", "not_started", "unknown")
)
payloads = strategies.binary(max_size=20)
results = strategies.lists(
    strategies.builds(
        types.TaskResult, states, strategies.integers(0, 599), payloads
    ),
    max_size=4,
).map(tuple)
texts = strategies.text(max_size=12)
answers = strategies.one_of(
    strategies.builds(types.Complete, results),
    strategies.builds(types.Failed, texts, texts, results),
    strategies.builds(
        types.Refused,
        texts,
        texts,
        strategies.floats(0, 99) | strategies.none(),
    ),
    strategies.builds(
        types.Pending, strategies.integers(0), strategies.integers(0), texts
    ),
)
OUTCOMES = {
    types.Complete: "complete",
    types.Failed: "failed",
    types.Pending: "pending",
}

values = strategies.sampled_from(
    (None, True, 0, -1, 1e300, float("nan"), "", "é" * 150, [], [1], {"a": 1})
)
names = strategies.sampled_from(("a", "B-1", "x:y.z", "a" * 128))
fields = strategies.fixed_dictionaries(
    {},
    optional={
        "service": names | values,
        "kind": names | values,
        "payload": values,
        "declared": strategies.floats() | values,
    },
)
bodies = strategies.fixed_dictionaries(
    {},
    optional={
        "team": names | values,
        "service": names,
        "timeout": strategies.floats(0, 700) | values,
        "tasks": strategies.lists(fields, max_size=3) | values,
        "surplus": values,
    },
)

valid_fields = strategies.fixed_dictionaries(
    {"service": names},
    optional={
        "kind": names,
        "payload": values,
        "declared": strategies.floats(0.001, 99),
    },
)
valid_bodies = strategies.fixed_dictionaries(
    {"tasks": strategies.lists(valid_fields, min_size=1, max_size=3)},
    optional={"team": names, "timeout": strategies.floats(0.001, 600)},
)


class DecodeTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(bodies | valid_bodies)
    def test_body_is_decoded_or_rejected_with_a_reason(self, body):
        decoded = codec.decode_job(body, MAX_PAYLOAD)
        if not pipeline.is_successful(decoded):
            error = decoded.failure()
            self.assertIn(error.status, (400, 413))
            self.assertTrue(error.reason)
            return
        spec = decoded.unwrap()
        self.assertEqual(len(body["tasks"]), len(spec.tasks))
        self.assertTrue(0 < spec.timeout <= codec.MAX_TIMEOUT)
        for task_body, task in zip(body["tasks"], spec.tasks, strict=True):
            self.assertLessEqual(len(task.payload), MAX_PAYLOAD)
            encoded = json.dumps(task_body.get("payload"))
            self.assertEqual(encoded, task.payload.decode())

    @shared.deterministic
    @hypothesis.given(valid_bodies, valid_bodies)
    def test_digests_differ_exactly_when_bodies_differ(self, first, second):
        specs = [
            codec.decode_job(body, MAX_PAYLOAD) for body in (first, second)
        ]
        hypothesis.assume(all(map(pipeline.is_successful, specs)))
        equal = json.dumps(first, sort_keys=True) == json.dumps(
            second, sort_keys=True
        )
        digests = {spec.unwrap().digest for spec in specs}
        self.assertEqual(equal, len(digests) == 1)

    @shared.deterministic
    @hypothesis.given(fields | valid_fields)
    def test_decoded_request_has_one_task(self, body):
        decoded = codec.decode_request(body, MAX_PAYLOAD)
        if pipeline.is_successful(decoded):
            self.assertEqual(1, len(decoded.unwrap().tasks))
            self.assertTrue(decoded.unwrap().single)


class EncodeTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(answers)
    def test_each_kind_of_answer_has_its_own_encoding(self, answer):
        response = codec.encode_answer("job", answer)
        body = json.loads(json.dumps(response.body))
        if isinstance(answer, types.Refused):
            self.assertNotIn("tasks", body)
            self.assertNotIn(body.get("outcome"), OUTCOMES.values())
            self.assertGreaterEqual(response.status, 400)
            return
        self.assertEqual(OUTCOMES[type(answer)], body["outcome"])
        encoded = [task["state"] for task in body.get("tasks", ())]
        expected = [result.state for result in getattr(answer, "results", ())]
        self.assertEqual(expected, encoded)
