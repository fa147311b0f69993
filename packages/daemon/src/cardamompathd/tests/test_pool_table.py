import pathlib
import tempfile
import unittest

from returns import pipeline

from cardamompath_core import pool_policy
from cardamompathd.settings import pool_table


class PoolTableTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "pool.ini")
            file.write_text(text)
            return pool_table.load([str(file)])

    def test_without_files_all_choices_are_off(self):
        policy = pool_table.load([]).unwrap()
        self.assertEqual(policy, pool_policy.PoolPolicy())

    def test_choices_are_read(self):
        policy = self.load(
            "[room]\nreports = on\n[placement]\npolicy = fitting\n"
            "reservation_limit = 0.2\n"
        ).unwrap()
        self.assertTrue(policy.room.reports)
        self.assertTrue(policy.placement.fitting)
        self.assertEqual(policy.placement.reservation_limit, 0.2)

    def test_all_errors_are_named_in_one_run(self):
        loaded = self.load(
            "[room]\nreports = maybe\n[shares]\nturbo = 1\n"
            "[placement]\nreservation_limit = -1\n"
        )
        self.assertFalse(pipeline.is_successful(loaded))
        keys = {error.key for error in loaded.failure()}
        self.assertEqual(keys, {"reports", "turbo", "reservation_limit"})

    def test_weights_of_shares_are_read(self):
        shares = (
            self.load(
                "[shares]\nenabled = on\nleast_share = 0.1\n"
                "route_weights = short:2, long: 0.5\n"
            )
            .unwrap()
            .shares
        )
        self.assertEqual(shares.route_weights, (("short", 2.0), ("long", 0.5)))
        self.assertEqual(shares.least_share, 0.1)

    def test_weights_and_minimums_are_checked_in_one_run(self):
        loaded = self.load(
            "[room]\nreports = maybe\n[shares]\nleast_share = 0.4\n"
            "route_weights = a:1, b:1, c:1\ndomain_weights = x:-1\n"
        )
        errors = {error.key: str(error) for error in loaded.failure()}
        self.assertEqual(
            set(errors), {"reports", "route_weights", "domain_weights"}
        )
        self.assertIn("'x:-1'", errors["domain_weights"])
        self.assertIn("at most 2 names", errors["route_weights"])
        for text in ("a:nan", "a", "a:1, a:2", ":1"):
            with self.subTest(text=text):
                loaded = self.load(f"[shares]\nroute_weights = {text}\n")
                self.assertEqual(len(loaded.failure()), 1)


if __name__ == "__main__":
    unittest.main()
