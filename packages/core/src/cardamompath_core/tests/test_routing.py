import collections
import random
import unittest

from cardamompath_core import routing


def make_server(name, speed=1.0, home=4, in_flight=0, **fields):
    server = routing.Server(name)
    server.speed = speed
    server.home_slots = server.usable_slots = home
    server.limit = 8
    server.in_flight = in_flight
    for field, value in fields.items():
        setattr(server, field, value)
    return server


class ChooseTest(unittest.TestCase):
    def choose(self, *servers, size=1.0, backlog=0.0):
        demand = routing.TaskDemand(size, 10.0, backlog)
        server, waits = routing.choose_home(servers, demand)
        return "wait" if waits else server.name if server else None

    def borrow(self, *servers):
        demand = routing.TaskDemand(1.0, 10.0, 0.0)
        chosen = [
            routing.choose_borrowed(servers, demand, random.Random(seed))
            for seed in range(40)
        ]
        return {server.name for server in chosen if server is not None}

    def test_faster_server_is_preferred(self):
        slow, fast = make_server("slow"), make_server("fast", 4.0, in_flight=3)
        self.assertEqual("fast", self.choose(slow, fast))

    def test_equal_servers_are_used_evenly(self):
        more, less = (
            make_server("more", in_flight=2),
            make_server("less", in_flight=1),
        )
        self.assertEqual("less", self.choose(more, less))

    def test_waits_for_a_faster_server_that_is_free_soon(self):
        slow = make_server("slow")
        fast = make_server("fast", 4.0, in_flight=4, next_free_at=10.1)
        self.assertEqual("wait", self.choose(slow, fast))

    def test_uses_a_slow_server_if_the_task_ends_sooner_there(self):
        slow = make_server("slow")
        fast = make_server("fast", 4.0, in_flight=4, next_free_at=11.0)
        self.assertEqual("slow", self.choose(slow, fast))

    def test_backlog_counts_against_waiting(self):
        slow = make_server("slow")
        fast = make_server("fast", 4.0, in_flight=4, next_free_at=10.1)
        self.assertEqual("slow", self.choose(slow, fast, backlog=20.0))

    def test_chooses_no_server_without_a_free_slot(self):
        self.assertIsNone(self.choose(make_server("full", in_flight=4)))

    def test_borrows_up_to_the_limit_only(self):
        full, free = (
            make_server("full", in_flight=8),
            make_server("free", in_flight=7),
        )
        self.assertEqual({"free"}, self.borrow(full, free))
        self.assertEqual(set(), self.borrow(full))

    def test_nearer_server_is_borrowed_unless_the_other_is_faster(self):
        near = make_server("near")
        far = make_server("far", extra_latency=0.003)
        counts = self.borrow_often(near, far)
        self.assertGreater(counts["near"], counts["far"])
        far.speed = 2.0
        counts = self.borrow_often(near, far)
        self.assertGreater(counts["far"], counts["near"])

    def borrow_often(self, *servers):
        demand = routing.TaskDemand(1.0, 10.0, 0.0)
        rng = random.Random(1)
        return collections.Counter(
            routing.choose_borrowed(servers, demand, rng).name
            for _ in range(40)
        )
