"""What an instance on the platform does on signals."""

import queue
import signal
import unittest
from unittest import mock

from cardamompathd import pool_messages
from cardamompathd.platform import errors
from cardamompathd.platform import program
from cardamompathd.platform import settings

ADDRESS = ("127.0.0.1", 1)
CFG = settings.Settings("i", "d", ADDRESS, ADDRESS, ADDRESS, (), ADDRESS)


class SignalTest(unittest.TestCase):
    def follow(self, numbers, load):
        found = queue.SimpleQueue()
        for number in numbers:
            found.put(number)
        told = []
        with mock.patch.object(settings, "load", load):
            program._follow_settings(CFG, told.append, found)
        return told

    def test_signal_to_stop_ends_the_wait(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.assertEqual(self.follow([number], lambda: CFG), [])

    def test_reload_tells_new_seeds(self):
        seeds = (("10.1.0.9", 8166),)
        told = self.follow(
            [signal.SIGHUP, signal.SIGTERM],
            lambda: CFG._replace(seeds=seeds),
        )
        found = pool_messages.AddressesFound(seeds, "settings")
        self.assertEqual(told, [found])

    def test_bad_settings_are_left_aside(self):
        def load():
            raise errors.BadSettings("bad")

        numbers = [signal.SIGHUP, signal.SIGTERM]
        self.assertEqual(self.follow(numbers, load), [])
