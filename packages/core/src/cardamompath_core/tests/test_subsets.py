import collections
import random
import unittest

from cardamompath_core import subsets

DOMAINS = ("east", "north", "south", "west")


def servers(count, slots=8):
    return [
        subsets.Node(f"b{number:03}", DOMAINS[number % 4], slots)
        for number in range(count)
    ]


def instances(count):
    return [
        subsets.Node(f"entry-{number}", DOMAINS[number % 4])
        for number in range(count)
    ]


class HomeSlotsTest(unittest.TestCase):
    def test_slots_are_divided_equally(self):
        for count in range(1, 9):
            homes = subsets.assign_home_slots(servers(24), instances(count))
            totals = [sum(slots.values()) for slots in homes.values()]
            self.assertEqual(24 * 8, sum(totals))
            self.assertLessEqual(max(totals) - min(totals), 1)
            by_server = collections.Counter()
            for slots in homes.values():
                by_server.update(slots)
            self.assertEqual({8}, set(by_server.values()))

    def test_own_failure_domain_comes_first(self):
        domains = {server.name: server.domain for server in servers(24)}
        homes = subsets.assign_home_slots(servers(24), instances(8))
        for instance in instances(8):
            found = {domains[name] for name in homes[instance.name]}
            self.assertEqual({instance.domain}, found)

    def test_order_of_the_lists_does_not_matter(self):
        rng = random.Random(1)
        backends, entries = servers(30), instances(7)
        expected = subsets.assign_home_slots(backends, entries)
        rng.shuffle(backends)
        rng.shuffle(entries)
        self.assertEqual(
            expected, subsets.assign_home_slots(backends, entries)
        )

    def test_number_of_home_servers_is_bounded_in_a_large_pool(self):
        homes = subsets.assign_home_slots(servers(400), instances(16))
        most = max(len(slots) for slots in homes.values())
        self.assertLessEqual(most, subsets.HOME_SERVERS + 2)

    def test_loss_of_an_instance_moves_few_slots(self):
        for count in (24, 400):
            before = subsets.assign_home_slots(servers(count), instances(8))
            after = subsets.assign_home_slots(
                servers(count), instances(8)[:-1]
            )
            kept = sum(
                min(slots, after[name].get(server, 0))
                for name, home in before.items()
                if name in after
                for server, slots in home.items()
            )
            self.assertGreaterEqual(kept, 0.8 * count * 7)
