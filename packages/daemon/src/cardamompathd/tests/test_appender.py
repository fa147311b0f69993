"""The appender logs a failing platform once, not once for each call."""

import unittest
from unittest import mock

import loguru

from cardamompathd import messages
from cardamompathd.recordlog import appender
from cardamompathd.recordlog import errors


class AppenderTest(unittest.TestCase):
    def test_failed_read_backs_in_a_row_are_logged_once(self):
        lines = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        read = messages.RecordsRead("journal", (), 0, 0)
        unavailable = errors.LogUnavailable("down")
        client = mock.Mock()
        client.read.side_effect = [unavailable, unavailable, read, unavailable]
        replies = []
        task = appender.AppenderTask(client, replies.append)
        for count in (1, 1, 1, 2):
            task.tell(messages.ReadBack("journal", 0))
            task.tell(None)
            task.run()
            self.assertEqual(count, len(lines))
