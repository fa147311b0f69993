"""Which records of cancellations count, and when they are appended."""

import unittest

from cardamompath_core import cancellation_log
from cardamompath_core import cancellations
from cardamompath_core import planner_election

MEMORY_TIME = cancellations.MEMORY_TIME
LATE = cancellation_log.MAX_APPEND_DELAY


def make(name, age=0.0, writer=1, written_at=50.0):
    record = cancellation_log.LogRecord(name, age, writer, written_at)
    return cancellation_log.encode(record)


class ChoiceTest(unittest.TestCase):
    def test_record_that_no_reader_takes_is_not_written(self):
        record = cancellation_log.LogRecord("\xe9" * 127, 29.5, 2**64 - 1, 7.0)
        raw = cancellation_log.encode(record)
        self.assertEqual(cancellation_log.decode(raw), record)
        for fields in (("",), ("j" * 256,), ("j", -1.0), ("j", 0.0, 2**64)):
            with self.subTest(fields), self.assertRaises(ValueError):
                make(*fields)

    def test_unreadable_records_cost_only_themselves(self):
        # One record of a later version must not hide the others.
        raw = make("j")
        future, oversized = b"\x02" + raw[1:], raw + b"j" * 255
        bad = (b"", b"\x01", future, oversized, raw[:-1] + b"\xff")
        reading = cancellation_log.choose([make("a"), *bad, make("b")])
        self.assertEqual(reading.names, ("a", "b"))
        self.assertEqual(reading.unreadable, len(bad))

    def test_order_and_clock_of_one_writer_tell_what_is_old(self):
        # Cancellations of hours ago counted for 30 s after each start.
        raws = [
            make("a", writer=2, written_at=9999.0),
            make("b"),
            make("c", writer=2, written_at=0.0),
            make("d", written_at=51.0 + MEMORY_TIME + LATE),
            make("e", MEMORY_TIME + 0.1, writer=3),
        ]
        reading = cancellation_log.choose(raws)
        self.assertEqual(reading.names, ("c", "d"))
        self.assertEqual(reading.expired, 3)

    def test_no_clock_or_late_append_makes_a_record_old(self):
        # Both would drop a cancellation that still counts.
        raws = [
            make("a", writer=2, written_at=9e6),
            make("late", written_at=0.0),
            make("b", written_at=LATE + MEMORY_TIME),
            make("c", writer=3, written_at=9e9),
            make("a", 2.0, writer=3, written_at=9e9),
        ]
        reading = cancellation_log.choose(raws)
        self.assertEqual(reading.names, ("late", "b", "c", "a"))
        self.assertEqual(reading.ages[-1], 2.0)


class AppendQueueTest(unittest.TestCase):
    def test_append_without_an_answer_is_repeated_until_it_is_forgotten(self):
        queue = cancellation_log.AppendQueue(7)
        for name in ("a", "b", "a"):
            queue.add(name, 9.0)
        expected = [
            cancellation_log.LogRecord(name, 1.0, 7, 10.0) for name in "ba"
        ]
        self.assertEqual(queue.take(10.0), expected)
        self.assertAlmostEqual(queue.time_left(10.01), 0.04)
        queue.retry(9.6)
        self.assertLess(queue.time_left(9.6) + 0.65, 1.0)
        self.assertEqual(queue.drop_expired(9.0 + MEMORY_TIME), ())
        dropped = queue.drop_expired(9.1 + MEMORY_TIME)
        self.assertEqual(dropped, ("b", "a"))
        for number in range(cancellations.MAX_CANCELLATIONS + 1):
            queue.add(f"j{number}", 50.0)
        self.assertEqual(queue.drop_expired(50.0), ("j0",))


class ReporterTest(unittest.TestCase):
    def test_a_bounded_number_of_instances_reports(self):
        # If all did, a start of a large fleet would send the square of it.
        members = [
            planner_election.Member(f"n-{domain}{index}", domain, ("", 1), 9)
            for domain in "ab"
            for index in range(9)
        ]
        names = [member.name for member in members]
        is_reporter = cancellation_log.is_reporter
        reporters = [name for name in names if is_reporter(name, members)]
        self.assertEqual(reporters, ["n-a7", "n-a8", "n-b7", "n-b8"])
