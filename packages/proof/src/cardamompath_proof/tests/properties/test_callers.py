import json
import unittest

import hypothesis
from hypothesis import strategies
from returns import pipeline

from cardamompath_core import types
from cardamompath_proof.tests.properties import checked
from cardamompathd.callers import codec

LIMIT = 200

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

good_fields = strategies.fixed_dictionaries(
    {"service": names},
    optional={
        "kind": names,
        "payload": values,
        "declared": strategies.floats(0.001, 99),
    },
)
good_bodies = strategies.fixed_dictionaries(
    {"tasks": strategies.lists(good_fields, min_size=1, max_size=3)},
    optional={"team": names, "timeout": strategies.floats(0.001, 600)},
)


class DecodeTest(unittest.TestCase):
    @checked.checked
    @hypothesis.given(bodies | good_bodies)
    def test_a_body_is_a_job_or_says_why_not(self, body):
        decoded = codec.decode_job(body, LIMIT)
        if not pipeline.is_successful(decoded):
            bad = decoded.failure()
            self.assertIn(bad.status, (400, 413))
            self.assertTrue(bad.reason)
            return
        spec = decoded.unwrap()
        self.assertEqual(len(body["tasks"]), len(spec.tasks))
        self.assertTrue(0 < spec.timeout <= codec.MAX_TIMEOUT)
        for given, task in zip(body["tasks"], spec.tasks, strict=True):
            self.assertLessEqual(len(task.payload), LIMIT)
            sent = json.dumps(given.get("payload"))
            self.assertEqual(sent, task.payload.decode())

    @checked.checked
    @hypothesis.given(good_bodies, good_bodies)
    def test_another_body_has_another_digest(self, one, other):
        specs = [codec.decode_job(body, LIMIT) for body in (one, other)]
        hypothesis.assume(all(map(pipeline.is_successful, specs)))
        same = json.dumps(one, sort_keys=True) == json.dumps(
            other, sort_keys=True
        )
        digests = {spec.unwrap().digest for spec in specs}
        self.assertEqual(same, len(digests) == 1)

    @checked.checked
    @hypothesis.given(fields | good_fields)
    def test_a_request_is_one_task_or_says_why_not(self, body):
        decoded = codec.decode_request(body, LIMIT)
        if pipeline.is_successful(decoded):
            self.assertEqual(1, len(decoded.unwrap().tasks))
            self.assertTrue(decoded.unwrap().single)


class EncodeTest(unittest.TestCase):
    @checked.checked
    @hypothesis.given(answers)
    def test_the_kinds_of_answers_never_blur(self, answer):
        response = codec.encode_answer("job", answer)
        body = json.loads(json.dumps(response.body))
        if isinstance(answer, types.Refused):
            self.assertNotIn("tasks", body)
            self.assertNotIn(body.get("outcome"), OUTCOMES.values())
            self.assertGreaterEqual(response.status, 400)
            return
        self.assertEqual(OUTCOMES[type(answer)], body["outcome"])
        told = [one["state"] for one in body.get("tasks", ())]
        known = [one.state for one in getattr(answer, "results", ())]
        self.assertEqual(known, told)
