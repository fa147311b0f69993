import functools
import pathlib
import unittest

import cardamompath_proof
from cardamompath_core import types
from cardamompath_proof import known_red
from cardamompath_proof.model import __main__ as model
from cardamompath_proof.model import exploration
from cardamompath_proof.model import jobs
from cardamompath_proof.model import replay
from cardamompath_proof.model import variants

JOB_VARIANTS = [
    variant
    for variant in variants.VARIANTS
    if variant.protocol.fields == jobs.JobState._fields
]

KNOWN_RED = known_red.read(
    pathlib.Path(cardamompath_proof.__file__).parents[4]
)


@functools.cache
def find_counterexamples():
    return {
        variant.name: exploration.explore(variant.protocol, {}).broken.get(
            variant.property
        )
        for variant in variants.VARIANTS
    }


class ProtocolTest(unittest.TestCase):
    def test_every_property_holds(self):
        for name, module, bounds in model.PROTOCOLS:
            with self.subTest(protocol=name):
                protocol = module.make_protocol(bounds=bounds, name=name)
                result = exploration.explore(protocol, module.WITNESSES)
                self.assertEqual({}, result.broken)
                self.assertEqual(set(module.WITNESSES), result.reached)

    def test_every_broken_variant_is_caught(self):
        self.assertGreaterEqual(len(variants.VARIANTS), 6)
        for variant in variants.VARIANTS:
            with self.subTest(variant=variant.name):
                self.assertTrue(find_counterexamples()[variant.name])


class ReplayTest(unittest.TestCase):
    """The controllers satisfy the model's properties along its traces."""

    def test_no_counterexample_breaks_the_controllers(self):
        for variant in JOB_VARIANTS:
            with self.subTest(variant=variant.name):
                rig = replay.replay(find_counterexamples()[variant.name])
                if f"model/{variant.name}" in KNOWN_RED:
                    print(
                        f"known red: replay of {variant.name!r}: "
                        f"{rig.violations}"
                    )
                    self.assertTrue(
                        rig.violations, "is listed in KNOWN-RED.txt but passes"
                    )
                    continue
                self.assertEqual([], rig.violations)

    def replay_to(self, witness):
        bounds = jobs.Bounds(ticks=4, renewals=0, progress=0)
        protocol = jobs.make_protocol(bounds=bounds)
        is_witness = jobs.WITNESSES[witness]
        protocol.invariants = {
            "not reached": lambda state: not is_witness(state)
        }
        result = exploration.explore(protocol, {})
        rig = replay.replay(result.broken["not reached"])
        self.assertEqual([], rig.violations)
        return rig.answers[-1]

    def test_controllers_give_the_answers_of_the_model(self):
        name, answer = self.replay_to("complete")
        self.assertIsInstance(answer, types.Complete)
        name, answer = self.replay_to("refused")
        self.assertIsInstance(answer, types.Refused)
        name, answer = self.replay_to("failed")
        self.assertIsInstance(answer, types.Failed)
        name, answer = self.replay_to("settled")
        self.assertEqual(("peer", "owner_died"), (name, answer.code))
