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


if __name__ == "__main__":
    unittest.main()
