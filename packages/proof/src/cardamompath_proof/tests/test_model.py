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

OF_JOBS = [
    one
    for one in variants.VARIANTS
    if one.protocol.fields == jobs.JobState._fields
]

KNOWN = known_red.read(pathlib.Path(cardamompath_proof.__file__).parents[4])


@functools.cache
def counterexamples():
    return {
        one.name: exploration.explore(one.protocol, {}).broken.get(
            one.property
        )
        for one in variants.VARIANTS
    }


class ProtocolTest(unittest.TestCase):
    def test_every_property_holds(self):
        for name, module, bounds in model.PROTOCOLS:
            with self.subTest(protocol=name):
                protocol = module.make_protocol(bounds=bounds, name=name)
                found = exploration.explore(protocol, module.WITNESSES)
                self.assertEqual({}, found.broken)
                self.assertEqual(set(module.WITNESSES), found.reached)

    def test_every_broken_variant_is_caught(self):
        self.assertGreaterEqual(len(variants.VARIANTS), 6)
        for one in variants.VARIANTS:
            with self.subTest(variant=one.name):
                self.assertTrue(counterexamples()[one.name])


class ReplayTest(unittest.TestCase):
    """The real controllers, driven along traces of the model."""

    def test_no_counterexample_breaks_the_controllers(self):
        for one in OF_JOBS:
            with self.subTest(variant=one.name):
                rig = replay.replay(counterexamples()[one.name])
                if f"model/{one.name}" in KNOWN:
                    print(f"known red: replay of {one.name!r}: {rig.faults}")
                    self.assertTrue(rig.faults, "is listed as red and holds")
                    continue
                self.assertEqual([], rig.faults)

    def replay_to(self, witness):
        bounds = jobs.Bounds(ticks=4, renewals=0, progress=0)
        protocol = jobs.make_protocol(bounds=bounds)
        met = jobs.WITNESSES[witness]
        protocol.invariants = {"not met": lambda state: not met(state)}
        found = exploration.explore(protocol, {})
        rig = replay.replay(found.broken["not met"])
        self.assertEqual([], rig.faults)
        return rig.answers[-1]

    def test_what_the_model_reaches_the_controllers_reach(self):
        name, answer = self.replay_to("complete")
        self.assertIsInstance(answer, types.Complete)
        name, answer = self.replay_to("refused")
        self.assertIsInstance(answer, types.Refused)
        name, answer = self.replay_to("failed")
        self.assertIsInstance(answer, types.Failed)
        name, answer = self.replay_to("settled")
        self.assertEqual(("peer", "owner_died"), (name, answer.code))
