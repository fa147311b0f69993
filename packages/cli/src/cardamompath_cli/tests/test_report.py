import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock
from xml.dom import minidom

from cardamompath_cli import burn_text
from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import main
from cardamompath_core import burn

UNSAFE_TEXT = "<b>&\"'\x1b[2J"


def make_page(*series, domain="pocitos"):
    empty = {"complete": 0, "late": 0, "refused": 0, "failed": 0}
    series = [empty | {"team": UNSAFE_TEXT} | counts for counts in series]
    bucket = {"begin": 540.0, "span": 60.0, "series": series}
    return {"domain": domain, "now": 600.0, "buckets": [bucket]}


def make_configuration(revision, objective):
    services = [
        {"name": name, "objective": objective}
        for name in ("booking", UNSAFE_TEXT)
    ]
    return {"revision": revision, "services": services}


BOOKING = {"service": "booking", "complete": 8, "late": 1, "failed": 1}
PAGES = {
    "one/v1/burn": make_page(BOOKING | {"refused": 4}),
    "one/v1/configuration": make_configuration(3, 0.9),
    "two/v1/burn": make_page(
        BOOKING, {"service": UNSAFE_TEXT, "complete": 1, "short": {"2": 1}}
    ),
    "two/v1/configuration": make_configuration(2, 0.5),
    "empty/v1/burn": make_page() | {"buckets": []},
    "empty/v1/configuration": make_configuration(0, 0.9),
}


def fetch(address, path):
    if address + path not in PAGES:
        raise client.RequestError(f"no answer from {address}")
    return PAGES[address + path]


class ReportTest(unittest.TestCase):
    def report(self, *argv):
        out = io.StringIO()
        with (
            mock.patch.object(client, "fetch", fetch),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            try:
                status = main.main(["report", "burn", *argv])
            except SystemExit as exc:
                status = exc.code
        return status, out.getvalue()

    def page(self, *argv):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = pathlib.Path(folder.name, "burn.html")
        self.report(*argv, "--html", str(file))
        return file.read_text(encoding="utf-8")

    def test_each_instance_is_counted_once(self):
        argv = ("--to", "one", "--to", "two", "--to", "one", "--json")
        status, text = self.report(*argv)
        self.assertEqual(exits.DONE, status)
        body = json.loads(text)
        row = next(r for r in body["rows"] if r["key"]["service"] == "booking")
        self.assertEqual((2, 0.9), (body["instances"], row["objective"]))
        window = row["windows"][0]
        counts = {"good": 16, "late": 2, "failed": 2, "refused": 4}
        self.assertEqual(counts, window["counts"])
        self.assertAlmostEqual(2.0, window["burn"])

    def test_table_counts_refusals_separately(self):
        status, text = self.report("--to", "one")
        found = [
            line for line in text.splitlines() if "domain pocitos" in line
        ]
        words = found[0].split()
        self.assertEqual(["2.00"] * 4, words[4:8])
        self.assertEqual(["1", "1", "4"], words[-3:])
        self.assertIn("not collected", text)
        self.assertNotIn("\x1b", text)

    def test_unreachable_instance_is_named(self):
        status, text = self.report("--to", "one", "--to", "gone")
        self.assertEqual(exits.UNREACHABLE, status)
        self.assertIn("Left out: no answer from gone", text)
        self.assertIn("team", text)

    def test_report_without_submissions(self):
        status, text = self.report("--to", "empty")
        self.assertEqual(exits.DONE, status)
        self.assertIn("No submission has ended yet.", text)
        self.assertIn("No submission", self.page("--to", "empty"))

    def test_page_is_escaped_and_self_contained(self):
        page = self.page("--to", "one", "--to", "two")
        self.assertNotIn("<b>", page)
        self.assertNotIn("<script", page)
        self.assertNotIn("\x1b", page)
        urls = page.replace("http://www.w3.org/2000/svg", "")
        self.assertNotIn("://", urls)
        plots = page.split("<svg")[1:]
        self.assertEqual(4, len(plots))
        for plot in plots:
            minidom.parseString("<svg" + plot.split("</svg>")[0] + "</svg>")
        body = page[page.index("<h1>") : page.index("</body>")]
        minidom.parseString(f"<div>{body}</div>")

    def test_time_until_the_budget_is_spent_is_formatted(self):
        row = burn.Row(burn.Key("booking"), 0.9, (), 0.0, None)
        cases = {None: "-", 0.0: "gone", 61.0: "2 min", 7200.0: "2.0 h"}
        for left, text in cases.items():
            window = burn.Window("3d", 0.0, burn.Counts(), None)
            changed = row._replace(windows=(window,) * 4, left=left)
            self.assertIn(text, burn_text.burn_cells(changed))

    def test_unwritable_page_is_a_usage_error(self):
        status, text = self.report("--to", "one", "--html", "/none/burn.html")
        self.assertEqual(exits.USAGE, status)
