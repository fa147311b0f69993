import unittest

from cardamompath_standins import platform


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.state = platform.PlatformState(append_rate=2.0, retention=10)

    def test_instance_list_is_outdated_by_its_lag(self):
        self.state.instance_lists.append((10.0, ["new"]))
        self.assertEqual(["new"], self.state.visible_instances(10.0))
        self.state.faults = {"list_lag": 3.0}
        self.assertEqual([], self.state.visible_instances(12.9))
        self.assertEqual(["new"], self.state.visible_instances(13.0))

    def test_append_rate_is_limited(self):
        allowed = [self.state.take_token(5.0) for _ in range(3)]
        self.assertEqual([True, True, False], allowed)
        self.assertTrue(self.state.take_token(5.5))
