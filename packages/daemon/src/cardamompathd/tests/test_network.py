import unittest

from cardamompathd import messages
from cardamompathd.tests import network

SIZE = 100
WARM_UP = 10.0
BUDGET = 2048.0
"""Bytes a second that control may take, sent and received."""


def all_at(net, revision):
    return lambda: all(
        one.revisions[-1] >= revision for one in net.instances if one.alive
    )


class ConvergenceTest(unittest.TestCase):
    def make(self, seed, count=SIZE, loss=0.2):
        net = network.Network(count, seed, loss)
        net.append(network.make_note(0, 610))
        net.run(WARM_UP)
        self.assertTrue(all_at(net, 1)())
        return net

    def assert_agreed(self, net):
        truths = {}
        for one in net.instances:
            ordered = sorted(set(one.revisions))
            self.assertEqual(ordered, one.revisions)
            errors = [line for line in one.logged if line.level == "ERROR"]
            self.assertEqual([], errors)
            cfg = one.cfg()
            if cfg.offset not in truths:
                truths[cfg.offset] = network.fold_log(
                    net.log[: cfg.offset + 1]
                )
            self.assertEqual(truths[cfg.offset], cfg)

    def test_what_one_instance_learns_is_soon_known_everywhere(self):
        net = self.make(1)
        reader = net.instances[7]
        net.may_read = lambda one: one is reader
        net.append(network.make_note(1))
        self.assertLess(net.run(20.0, all_at(net, 2)), 5.0)
        self.assert_agreed(net)
        names = frozenset(["executor-007"])
        sign = messages.BackendsLeaving(names)
        net.instances[9].tell(messages.MEMBERSHIP, sign)
        took = net.run(
            20.0, lambda: all(one.leaving == names for one in net.instances)
        )
        self.assertLess(took, 3.0)
        names = [f"executor-{index:03d}" for index in range(610)]
        net.listed = [network.make_leaving_entry(name) for name in names]
        net.run(20.0, lambda: len(reader.leaving) == 610)
        took = net.run(
            20.0, lambda: all(len(one.leaving) == 610 for one in net.instances)
        )
        self.assertLess(took, 3.0)

    def test_cut_with_one_bridging_instance(self):
        net = self.make(3)
        bridge = net.instances[60]

        def side(one):
            return one.domain in "ab"

        net.may_read = side
        net.may_talk = lambda one, other: (
            side(one) == side(other) or bridge in (one, other)
        )
        net.run(20.0)
        net.append(network.make_note(1))
        took = net.run(20.0, all_at(net, 2))
        self.assertLess(took, 5.0)
        self.assert_agreed(net)

    def test_partition_and_rejoin_without_a_revert(self):
        net = self.make(4, 24)

        def side(one):
            return one.domain == "a"

        net.may_read = side
        net.may_talk = lambda one, other: side(one) == side(other)
        net.append(network.make_note(1))
        net.append(network.make_note(1))
        net.run(40.0)
        reborn = net.add("d")
        net.run(10.0)
        self.assertEqual([0, 1], reborn.revisions)
        for one in net.instances:
            self.assertEqual(2 if side(one) else 1, one.revisions[-1])
        net.may_talk = lambda one, other: True
        took = net.run(120.0, all_at(net, 2))
        self.assertLess(took, 10.0)
        net.may_read = lambda one: True
        net.append(network.make_note(2))
        self.assertLess(net.run(20.0, all_at(net, 3)), 1.0)
        net.loss = 0.0
        net.run(90.0)
        for one in net.instances:
            self.assertEqual({"alive"}, {peer.status for peer in one.peers})
        self.assert_agreed(net)

    def test_dead_instance_is_found_and_no_other(self):
        net = self.make(7, 24)
        net.instances[4].alive = False
        net.run(60.0)
        dead = ".entry-4."
        for one in net.instances:
            if not one.alive:
                continue
            found = [p.incarnation for p in one.peers if p.status == "dead"]
            self.assertEqual(1, len(found), found)
            self.assertIn(dead, found[0])


class SnapshotTest(unittest.TestCase):
    def test_retention_is_bridged_by_few_snapshots(self):
        net = network.Network(8, 8)
        for base in range(60):
            net.append(network.make_note(base))
            net.oldest = max(0, len(net.log) - 20)
            net.run(15.0)
        total = sum(len(one.snapshots) for one in net.instances)
        self.assertLess(total, 20)
        net.may_talk = lambda one, other: False
        late = net.add("a")
        self.assertEqual(60, late.cfg().revision)
        self.assertEqual(net.instances[0].cfg(), late.cfg())


class BudgetTest(unittest.TestCase):
    def test_control_stays_within_its_budget(self):
        net = network.Network(SIZE, 9)
        net.encode = True
        net.append(network.make_note(0, 610))
        names = frozenset(f"executor-{index:03d}" for index in range(610))
        net.run(WARM_UP)
        net.instances[9].tell(
            messages.MEMBERSHIP, messages.BackendsLeaving(names)
        )
        net.run(10.0)
        for one in net.instances:
            one.bytes = one.tcp = 0
        net.run(10.0)
        net.append(network.make_note(1))
        net.run(20.0)
        rates = sorted((one.bytes + one.tcp) / 30.0 for one in net.instances)
        self.assertLess(rates[-1], BUDGET)
