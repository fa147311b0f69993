import unittest

from cardamompathd import messages
from cardamompathd.tests import network

INSTANCES = 100
WARM_UP_TIME = 10.0
"""Seconds for all instances to start and read the first revision."""
MAX_BYTES_PER_SECOND = 2048.0
"""Bytes of control traffic that an instance may send and receive."""


def all_reached(net, revision):
    return lambda: all(
        instance.revisions[-1] >= revision
        for instance in net.instances
        if instance.alive
    )


class ConvergenceTest(unittest.TestCase):
    def make(self, seed, count=INSTANCES, loss=0.2):
        net = network.Network(count, seed, loss)
        net.append(network.make_note(0, 610))
        net.run(WARM_UP_TIME)
        self.assertTrue(all_reached(net, 1)())
        return net

    def assert_agreed(self, net):
        expected = {}
        for instance in net.instances:
            ordered = sorted(set(instance.revisions))
            self.assertEqual(ordered, instance.revisions)
            errors = [
                line for line in instance.log_lines if line.level == "ERROR"
            ]
            self.assertEqual([], errors)
            cfg = instance.cfg()
            if cfg.offset not in expected:
                expected[cfg.offset] = network.fold_log(
                    net.log[: cfg.offset + 1]
                )
            self.assertEqual(expected[cfg.offset], cfg)

    def test_update_read_by_one_instance_spreads_to_all(self):
        net = self.make(1)
        reader = net.instances[7]
        net.can_read_log = lambda instance: instance is reader
        net.append(network.make_note(1))
        self.assertLess(net.run(20.0, all_reached(net, 2)), 5.0)
        self.assert_agreed(net)
        names = frozenset(["executor-007"])
        leaving = messages.BackendsLeaving(names)
        net.instances[9].receive(messages.MEMBERSHIP, leaving)
        duration = net.run(
            20.0,
            lambda: all(
                instance.leaving_backends == names
                for instance in net.instances
            ),
        )
        self.assertLess(duration, 3.0)
        names = [f"executor-{index:03d}" for index in range(610)]
        net.listed_backends = [
            network.make_leaving_entry(name) for name in names
        ]
        net.run(20.0, lambda: len(reader.leaving_backends) == 610)
        duration = net.run(
            20.0,
            lambda: all(
                len(instance.leaving_backends) == 610
                for instance in net.instances
            ),
        )
        self.assertLess(duration, 3.0)

    def test_partition_with_one_bridging_instance(self):
        net = self.make(3)
        bridge = net.instances[60]

        def in_first_part(instance):
            return instance.domain in "ab"

        net.can_read_log = in_first_part
        net.is_connected = lambda instance, peer: (
            in_first_part(instance) == in_first_part(peer)
            or bridge in (instance, peer)
        )
        net.run(20.0)
        net.append(network.make_note(1))
        duration = net.run(20.0, all_reached(net, 2))
        self.assertLess(duration, 5.0)
        self.assert_agreed(net)

    def test_partition_heals_without_reverting_a_revision(self):
        net = self.make(4, 24)

        def in_first_part(instance):
            return instance.domain == "a"

        net.can_read_log = in_first_part
        net.is_connected = lambda instance, peer: (
            in_first_part(instance) == in_first_part(peer)
        )
        net.append(network.make_note(1))
        net.append(network.make_note(1))
        net.run(40.0)
        added = net.add("d")
        net.run(10.0)
        self.assertEqual([0, 1], added.revisions)
        for instance in net.instances:
            self.assertEqual(
                2 if in_first_part(instance) else 1, instance.revisions[-1]
            )
        net.is_connected = lambda instance, peer: True
        duration = net.run(120.0, all_reached(net, 2))
        self.assertLess(duration, 10.0)
        net.can_read_log = lambda instance: True
        net.append(network.make_note(2))
        self.assertLess(net.run(20.0, all_reached(net, 3)), 1.0)
        net.loss = 0.0
        net.run(90.0)
        for instance in net.instances:
            self.assertEqual(
                {"alive"}, {peer.status for peer in instance.peers}
            )
        self.assert_agreed(net)

    def test_only_the_dead_instance_is_marked_dead(self):
        net = self.make(7, 24)
        net.instances[4].alive = False
        net.run(60.0)
        dead_name = ".entry-4."
        for instance in net.instances:
            if not instance.alive:
                continue
            found = [
                peer.incarnation
                for peer in instance.peers
                if peer.status == "dead"
            ]
            self.assertEqual(1, len(found), found)
            self.assertIn(dead_name, found[0])


class SnapshotTest(unittest.TestCase):
    def test_few_snapshots_outlive_the_retention(self):
        net = network.Network(8, 8)
        for base in range(60):
            net.append(network.make_note(base))
            net.oldest = max(0, len(net.log) - 20)
            net.run(15.0)
        total = sum(len(instance.snapshots) for instance in net.instances)
        self.assertLess(total, 20)
        net.is_connected = lambda instance, peer: False
        added = net.add("a")
        self.assertEqual(60, added.cfg().revision)
        self.assertEqual(net.instances[0].cfg(), added.cfg())


class TrafficTest(unittest.TestCase):
    def test_control_traffic_is_bounded(self):
        net = network.Network(INSTANCES, 9)
        net.encodes_digests = True
        net.append(network.make_note(0, 610))
        names = frozenset(f"executor-{index:03d}" for index in range(610))
        net.run(WARM_UP_TIME)
        net.instances[9].receive(
            messages.MEMBERSHIP, messages.BackendsLeaving(names)
        )
        net.run(10.0)
        for instance in net.instances:
            instance.frame_bytes = instance.tcp_bytes = 0
        net.run(10.0)
        net.append(network.make_note(1))
        net.run(20.0)
        rates = sorted(
            (instance.frame_bytes + instance.tcp_bytes) / 30.0
            for instance in net.instances
        )
        self.assertLess(rates[-1], MAX_BYTES_PER_SECOND)
