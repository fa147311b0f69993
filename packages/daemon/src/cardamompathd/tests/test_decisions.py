"""The decision log is bounded and does not block its callers."""

import json
import unittest

from cardamompathd import pool_messages
from cardamompathd.telemetry import decisions
from cardamompathd.telemetry import pool_metrics


class DecisionLogTest(unittest.TestCase):
    def make_log(self, length=10, rate=10):
        return decisions.DecisionLog(length, rate)

    def drain(self, log):
        return [json.loads(line) for line in log.take_lines().splitlines()]

    def test_line_contains_the_decision(self):
        log = self.make_log()
        fields = {"state": "complete", "age_ms": 12}
        log.record(
            pool_messages.Decision("gateway", "answered", "5c0e", fields)
        )
        line = self.drain(log)[0]
        self.assertEqual(line["request"], "5c0e")
        self.assertEqual(line["part"], "gateway")
        self.assertEqual(line["age_ms"], 12)

    def test_full_queue_drops_lines_and_counts_them(self):
        log = self.make_log(length=3)
        for number in range(8):
            log.enqueue(1.0, {"number": number})
        lines = self.drain(log)
        self.assertEqual(len(lines), 3)
        self.assertEqual(lines[0]["left_out_before"], 5)

    def test_lines_in_one_second_are_limited(self):
        log = self.make_log(length=100, rate=4)
        for _ in range(20):
            log.enqueue(1.5, {})
        self.assertEqual(len(self.drain(log)), 4)
        log.enqueue(2.5, {})
        self.assertEqual(self.drain(log)[-1]["left_out_before"], 16)

    def test_blocked_writer_does_not_block_callers(self):
        log = self.make_log(length=2)
        # Nothing is written, and `record` returns nevertheless.
        for _ in range(1000):
            log.record(pool_messages.Decision("planner", "fenced", "", {}))
        self.assertEqual(len(self.drain(log)), 2)

    def test_value_without_json_form_is_written_as_text(self):
        log = self.make_log()
        log.enqueue(1.0, {"room": {1, 2}})
        self.assertEqual(self.drain(log)[0]["room"], "{1, 2}")

    def test_text_that_is_not_unicode_loses_one_line_only(self):
        log = self.make_log()
        log.enqueue(1.0, {"request": "\ud800"})
        log.enqueue(1.0, {"request": "5c0e"})
        lines = self.drain(log)
        self.assertIn("ud800", lines[0]["invalid"])
        self.assertEqual(lines[1]["request"], "5c0e")


class DecisionCountsTest(unittest.TestCase):
    def count_answer(self, counts, state, age_ms):
        fields = {"state": state, "age_ms": age_ms}
        counts.count(
            pool_messages.Decision("gateway", "answered", "x", fields)
        )

    def test_page_shows_decisions_and_response_times(self):
        counts = pool_metrics.DecisionCounts()
        for age_ms in (4, 40, 400):
            self.count_answer(counts, "complete", age_ms)
        page = pool_metrics.make_scrape(counts)()
        self.assertIn(
            'cardamompath_decisions_total{event="answered",part="gateway"} 3',
            page,
        )
        self.assertIn(
            'bucket_total{le="0.05",state="complete"} 2',
            page,
        )
        self.assertIn('le="+Inf",state="complete"} 3', page)

    def test_page_shows_which_domains_are_evacuated(self):
        # The metric kept the value of an evacuation that had ended.
        counts = pool_metrics.DecisionCounts()
        scrape = pool_metrics.make_scrape(counts)
        for event, value in (
            ("evacuation in force", 1),
            ("evacuation ended", 0),
        ):
            fields = {"domains": ["a"]}
            counts.count(pool_messages.Decision("gateway", event, "", fields))
            line = f'cardamompath_evacuated{{domain="a"}} {value}'
            self.assertIn(line, scrape())

    def test_page_shows_the_last_shares_of_a_limited_number_of_groups(self):
        counts = pool_metrics.DecisionCounts()
        for number in (3, 2 * pool_metrics.MAX_SHARE_GROUPS):
            groups = {f"route r{each}": [9, 5, 0, 4] for each in range(number)}
            counts.count(
                pool_messages.Decision(
                    "planner",
                    "shares",
                    "",
                    {"service": "desk", "groups": groups},
                )
            )
        self.assertEqual(
            len(counts.share_figures()), 4 * pool_metrics.MAX_SHARE_GROUPS
        )
        self.assertIn(
            'figure="use",group="route r0",service="desk"} 5',
            pool_metrics.make_scrape(counts)(),
        )
        ended = pool_messages.Decision("planner", "ended to plan", "", {})
        counts.count(ended)
        self.assertEqual(counts.share_figures(), [])

    def test_page_shows_the_sizes_of_forecast_errors(self):
        # Early and late starts would otherwise cancel each other out.
        counts = pool_metrics.DecisionCounts()
        fields = {"errors_ms": [-40, 15]}
        counts.count(
            pool_messages.Decision("planner", "forecasts compared", "", fields)
        )
        page = pool_metrics.make_scrape(counts)()
        self.assertIn('error_bucket_total{le="0.02"} 1', page)
        self.assertIn('error_bucket_total{le="0.05"} 2', page)
        self.assertIn("error_sum_seconds_total 0.055", page)

    def test_page_shows_choices_and_all_dropped_reports(self):
        # One line tells of several reports.
        counts = pool_metrics.DecisionCounts()
        for event, fields in (
            ("planner chosen", {"why": "capacity in time"}),
            ("room report dropped", {"reason": "malformed", "count": 7}),
        ):
            counts.count(pool_messages.Decision("gateway", event, "", fields))
        page = pool_metrics.make_scrape(counts)()
        self.assertIn('choices_total{why="capacity in time"} 1', page)
        self.assertIn('dropped_total{reason="malformed"} 7', page)

    def test_series_are_limited(self):
        counts = pool_metrics.DecisionCounts()
        for number in range(2 * pool_metrics.MAX_SERIES):
            counts.count(pool_messages.Decision("x", str(number), "", {}))
        self.assertEqual(len(counts.event_counts()), pool_metrics.MAX_SERIES)
