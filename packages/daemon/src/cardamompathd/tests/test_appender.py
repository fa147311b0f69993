import unittest
from unittest import mock

import loguru

from cardamompathd import messages
from cardamompathd.recordlog import appender
from cardamompathd.recordlog import errors


class AppenderTest(unittest.TestCase):
    def test_read_backs_that_fail_in_a_row_are_one_line(self):
        lines = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        page = messages.RecordsRead("journal", (), 0, 0)
        down = errors.LogUnavailable("down")
        client = mock.Mock()
        client.read.side_effect = [down, down, page, down]
        ended = []
        task = appender.AppenderTask(client, ended.append)
        for count in (1, 1, 1, 2):
            task.tell(messages.ReadBack("journal", 0))
            task.tell(None)
            task.run()
            self.assertEqual(count, len(lines))
