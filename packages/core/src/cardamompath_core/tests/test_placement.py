import unittest

from cardamompath_core import executors
from cardamompath_core import placement

TARGET = placement.Target(0.0, 0.1, 1.6, 0.062)


class PlacementTest(unittest.TestCase):
    def test_chance_falls_with_the_wait_and_the_run_time(self):
        self.assertEqual(placement.chance_in_time(TARGET, 0.0, 0.1), 1.0)
        slow = placement.chance_in_time(TARGET, 0.0, 0.243)
        self.assertLess(placement.chance_in_time(TARGET, 0.04, 0.243), slow)
        self.assertGreater(placement.chance_in_time(TARGET, 0.04, 0.1), 0.99)
        self.assertEqual(placement.chance_in_time(TARGET, 0.1, 0.243), 0.0)

    def test_fast_executors_have_a_price_while_they_are_needed(self):
        # Without a price short batches take them from those that need them.
        demand = placement.FastDemand()
        self.assertEqual(demand.price("desk", "fast", 1.0), 0.0)
        demand.add("desk", "fast", 0.5, 1.0)
        self.assertEqual(demand.price("desk", "fast", 1.0), 0.1)
        self.assertLess(demand.price("desk", "fast", 4.0), 0.01)

    def test_room_comes_with_the_run_after_which_the_task_fits(self):
        runs = [
            placement.RunLeft(executors.Resources(16, 1), 0.2),
            placement.RunLeft(executors.Resources(14, 1), 0.1),
        ]
        free = executors.Resources(2, 1)
        room = placement.find_room(executors.Resources(24, 1), free, runs)
        self.assertEqual(room.wait, 0.2)
        room = placement.find_room(executors.Resources(16, 1), free, runs)
        self.assertEqual(room.wait, 0.1)
        self.assertIsNone(
            placement.find_room(executors.Resources(40, 1), free, runs)
        )

    def test_reservation_is_made_only_if_it_gives_more_than_it_costs(self):
        # Large gaps kept for long would cost those behind more.
        need = placement.Need("b", executors.Resources(24000), TARGET, 0.3)
        free = executors.Resources(16000)
        near = ("x1", 0.1, free, placement.Room(0.02, free))
        far = ("x2", 0.1, free, placement.Room(0.2, free))
        made = placement.choose_reservation(need, [far, near], 5.0)
        self.assertEqual((made.executor, made.expires_at), ("x1", 5.3))
        self.assertIsNone(placement.choose_reservation(need, [far], 5.0))

    def test_run_with_a_bound_beyond_the_time_does_not_fill(self):
        self.assertTrue(placement.ends_before(0.05, 0.2))
        self.assertFalse(placement.ends_before(0.05, 0.06))


if __name__ == "__main__":
    unittest.main()
