import unittest

import hypothesis
from hypothesis import strategies

from cardamompath_proof.scenarios import language
from cardamompath_proof.scenarios import runner
from cardamompath_proof.tests.properties import shared

HEADER = """scenario "Random steps"
promises once
failures burst
instances a1 a2 in alpha
instances b1 in beta
backends x1 x2 in alpha slots 2
backends y1 in beta slots 2
start
after 1 s
"""

instances = strategies.sampled_from(("a1", "a2", "b1"))
backends = strategies.sampled_from(("x1", "x2", "y1"))
jobs = strategies.sampled_from(("j1", "j2", "j3"))
instance_lists = strategies.lists(
    instances, min_size=1, max_size=3, unique=True
).map(" ".join)


def make_steps(template, **fields):
    return strategies.builds(template.format, **fields)


steps = strategies.one_of(
    make_steps(
        "submit {job} to {to}: {count} tasks of 0.1 to {longest} s "
        "timeout {timeout} s",
        job=jobs,
        to=instances,
        count=strategies.integers(1, 8),
        longest=strategies.sampled_from((0.3, 2)),
        timeout=strategies.sampled_from((1, 5, 60)),
    ),
    make_steps("resubmit {job} to {to}", job=jobs, to=instance_lists),
    make_steps("cancel {job} at {at}", job=jobs, at=instances),
    make_steps(
        "{verb} {instance}",
        verb=strategies.sampled_from(("pause", "resume", "kill", "restart")),
        instance=instances,
    ),
    make_steps(
        "log {state}",
        state=strategies.sampled_from(
            ("down", "up", "slow 3 s", "slow 0 s", "loses 2 answers")
        ),
    ),
    strategies.sampled_from(
        ("cut alpha from beta", "cut beta from platform", "heal")
    ),
    make_steps(
        "backend {name} is {mode}",
        name=backends,
        mode=strategies.sampled_from(("well", "crashing", "silent", "down")),
    ),
    make_steps("silence {name}", name=backends),
    make_steps(
        "after {time} s", time=strategies.sampled_from((0.05, 0.3, 1, 3, 12))
    ),
)


class RandomScenariosTest(unittest.TestCase):
    @hypothesis.settings(shared.deterministic, max_examples=60)
    @hypothesis.given(strategies.lists(steps, min_size=15, max_size=40))
    def test_random_failures_break_no_promise(self, lines):
        submitted = {}
        body = []
        for line in lines:
            words = line.split()
            if (
                words[0] in ("resubmit", "cancel")
                and words[1] not in submitted
            ):
                continue
            if (
                words[0] == "submit"
                and submitted.setdefault(words[1], line) != line
            ):
                continue
            body += [line, "after 0.1 s"]
        text = HEADER + "\n".join(body) + "\n"
        result = runner.run(language.parse("random", text))
        self.assertEqual("", result.broken_promise, f"{result.error}\n{text}")
