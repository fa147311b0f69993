import collections
import random
import unittest

from cardamompath_core import subsets

DOMAINS = ("east", "north", "south", "west")


def servers(count, slots=8):
    return [
        subsets.Node(f"b{one:03}", DOMAINS[one % 4], slots)
        for one in range(count)
    ]


def instances(count):
    return [
        subsets.Node(f"entry-{one}", DOMAINS[one % 4]) for one in range(count)
    ]


class HomeSlotsTest(unittest.TestCase):
    def test_every_slot_has_one_instance_in_equal_numbers(self):
        for count in range(1, 9):
            homes = subsets.assign_home_slots(servers(24), instances(count))
            totals = [sum(own.values()) for own in homes.values()]
            self.assertEqual(24 * 8, sum(totals))
            self.assertLessEqual(max(totals) - min(totals), 1)
            by_server = collections.Counter()
            for own in homes.values():
                by_server.update(own)
            self.assertEqual({8}, set(by_server.values()))

    def test_own_failure_domain_comes_first(self):
        domains = {one.name: one.domain for one in servers(24)}
        homes = subsets.assign_home_slots(servers(24), instances(8))
        for one in instances(8):
            own = {domains[name] for name in homes[one.name]}
            self.assertEqual({one.domain}, own)

    def test_order_of_the_lists_does_not_matter(self):
        rng = random.Random(1)
        backends, entries = servers(30), instances(7)
        expected = subsets.assign_home_slots(backends, entries)
        rng.shuffle(backends)
        rng.shuffle(entries)
        self.assertEqual(
            expected, subsets.assign_home_slots(backends, entries)
        )

    def test_number_of_homes_is_bounded_with_hundreds(self):
        homes = subsets.assign_home_slots(servers(400), instances(16))
        most = max(len(own) for own in homes.values())
        self.assertLessEqual(most, subsets.HOMES + 2)

    def test_a_lost_instance_moves_little(self):
        for count in (24, 400):
            before = subsets.assign_home_slots(servers(count), instances(8))
            after = subsets.assign_home_slots(
                servers(count), instances(8)[:-1]
            )
            kept = sum(
                min(slots, after[name].get(server, 0))
                for name, own in before.items()
                if name in after
                for server, slots in own.items()
            )
            self.assertGreaterEqual(kept, 0.8 * count * 7)
