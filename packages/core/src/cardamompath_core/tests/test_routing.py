import collections
import random
import unittest

from cardamompath_core import routing


def make_server(name, speed=1.0, home=4, used=0, **fields):
    server = routing.Server(name)
    server.speed = speed
    server.home_slots = server.usable_slots = home
    server.limit = 8
    server.in_flight = used
    for field, value in fields.items():
        setattr(server, field, value)
    return server


class ChooseTest(unittest.TestCase):
    def choose(self, *servers, size=1.0, waiting=0.0):
        wanted = routing.TaskDemand(size, 10.0, waiting)
        server, waits = routing.choose_home(servers, wanted)
        return "wait" if waits else server.name if server else None

    def borrow(self, *servers):
        wanted = routing.TaskDemand(1.0, 10.0, 0.0)
        chosen = [
            routing.choose_borrowed(servers, wanted, random.Random(seed))
            for seed in range(40)
        ]
        return {one.name for one in chosen if one is not None}

    def test_faster_goes_first(self):
        slow, fast = make_server("slow"), make_server("fast", 4.0, used=3)
        self.assertEqual("fast", self.choose(slow, fast))

    def test_equal_ones_are_used_evenly(self):
        more, less = make_server("more", used=2), make_server("less", used=1)
        self.assertEqual("less", self.choose(more, less))

    def test_waits_for_a_faster_one_that_is_soon_free(self):
        slow = make_server("slow")
        fast = make_server("fast", 4.0, used=4, next_free_at=10.1)
        self.assertEqual("wait", self.choose(slow, fast))

    def test_takes_a_slow_one_when_that_ends_sooner(self):
        slow = make_server("slow")
        fast = make_server("fast", 4.0, used=4, next_free_at=11.0)
        self.assertEqual("slow", self.choose(slow, fast))

    def test_work_that_waits_counts_against_waiting(self):
        slow = make_server("slow")
        fast = make_server("fast", 4.0, used=4, next_free_at=10.1)
        self.assertEqual("slow", self.choose(slow, fast, waiting=20.0))

    def test_takes_nothing_without_a_free_slot(self):
        self.assertIsNone(self.choose(make_server("full", used=4)))

    def test_borrows_up_to_the_limit_only(self):
        full, free = make_server("full", used=8), make_server("free", used=7)
        self.assertEqual({"free"}, self.borrow(full, free))
        self.assertEqual(set(), self.borrow(full))

    def test_borrows_near_before_far_unless_far_is_faster(self):
        near = make_server("near")
        far = make_server("far", extra_latency=0.003)
        counts = self.borrow_often(near, far)
        self.assertGreater(counts["near"], counts["far"])
        far.speed = 2.0
        counts = self.borrow_often(near, far)
        self.assertGreater(counts["far"], counts["near"])

    def borrow_often(self, *servers):
        wanted = routing.TaskDemand(1.0, 10.0, 0.0)
        rng = random.Random(1)
        return collections.Counter(
            routing.choose_borrowed(servers, wanted, rng).name
            for _ in range(40)
        )
