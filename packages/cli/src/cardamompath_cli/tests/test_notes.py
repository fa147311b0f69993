import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import main
from cardamompath_cli import notes
from cardamompath_core import snapshots
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.recordlog import errors


def note(name, **fields):
    return {"added": {"services": {name: {}}}} | fields


class FakeLog:
    """Log that can lose appends or their answers, or be unavailable."""

    def __init__(self, *records):
        self.records = [{"kind": "note"} | record for record in records]
        self.oldest = 0
        self.fault = None
        self.concurrent_note = None

    def append(self, stream, records):
        if self.concurrent_note:
            self.records.append({"kind": "note"} | self.concurrent_note)
        if self.fault == "refused":
            raise errors.LogUnavailable("status 503")
        if self.fault != "lost append":
            self.records += records
        if self.fault:
            raise errors.AppendOutcomeUnknown("timeout")
        return len(self.records) - 1

    def read(self, stream, offset, wait):
        if self.fault == "down":
            raise errors.LogUnavailable("down")
        first = max(offset, self.oldest)
        kept = tuple(enumerate(self.records))[first : first + 2]
        return messages.RecordsRead(
            stream, kept, self.oldest, len(self.records)
        )


class NoteTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name, "note.json")
        self.log = FakeLog(note("one", base=0), note("two", base=1))

    def run_command(self, *argv):
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
            mock.patch.object(notes, "_make_client", lambda address: self.log),
        ):
            code = main.main(["note", *argv])
        return code, out.getvalue()

    def publish(self, content, *argv):
        self.file.write_text(json.dumps(content))
        code, out = self.run_command(
            "publish", str(self.file), "--operator", "ana", "--json", *argv
        )
        return code, json.loads(out)

    def test_accepted_against_the_newest_revision(self):
        code, report = self.publish(note("three"))
        self.assertEqual(exits.DONE, code)
        self.assertEqual(
            ("accepted", 3), (report["outcome"], report["revision"])
        )
        self.assertEqual("ana", self.log.records[2]["operator"])
        code, out = self.run_command("history")
        self.assertEqual(3, out.count("accepted as revision"), out)

    def test_rejection_after_a_concurrent_note_lists_the_difference(self):
        self.log.concurrent_note = note("theirs", base=2)
        code, report = self.publish(note("three"))
        self.assertEqual(exits.REFUSED, code)
        self.assertEqual(["added services 'theirs'"], report["difference"])
        self.assertEqual(3, report["revision_in_force"])

    def test_stale_base_is_not_appended(self):
        code, report = self.publish(note("three", base=1))
        self.assertEqual(exits.REFUSED, code)
        self.assertEqual(["added services 'two'"], report["difference"])
        self.assertEqual(2, len(self.log.records))

    def test_every_fault_is_reported_and_nothing_appended(self):
        faulty = note("one", colour=1) | {"withdrawn": {"teams": ["x"]}}
        code, report = self.publish(faulty)
        self.assertEqual((exits.USAGE, 3), (code, len(report["faults"])))
        self.assertEqual(2, len(self.log.records))

    def test_note_is_found_after_a_lost_answer_and_appended_once(self):
        self.log.fault = "lost answer"
        code, report = self.publish(note("three"))
        self.assertEqual((exits.DONE, 2), (code, report["offset"]))
        self.assertEqual(3, len(self.log.records))

    def test_lost_append_has_unknown_outcome_and_is_not_repeated(self):
        self.log.fault = "lost append"
        code, report = self.publish(note("three"))
        self.assertEqual((exits.PENDING, "unknown"), (code, report["outcome"]))
        self.assertEqual(2, len(self.log.records))

    def test_unavailable_log_appends_nothing(self):
        for fault in ("down", "refused"):
            self.log.fault = fault
            code, report = self.publish(note("three"))
            self.assertEqual(exits.UNREACHABLE, code)
            self.assertEqual("not published", report["outcome"])

    def test_publishing_after_records_expired_needs_a_snapshot(self):
        self.log.oldest = 1
        code, _ = self.publish(note("three"))
        self.assertEqual(exits.UNREACHABLE, code)
        code, out = self.run_command("history")
        self.assertIn("outcome not known", out)
        cfg = types.Configuration(1, 0, (types.ServiceSpec("one"),))
        self.log.records.append(snapshots.make_record(cfg))
        code, report = self.publish(note("three"))
        self.assertEqual((exits.DONE, 3), (code, report["revision"]))

    def test_check_reports_stale_base_duplicate_and_bad_json(self):
        self.file.write_text(json.dumps(note("one", base=0)))
        self.assertEqual(
            exits.DONE, self.run_command("check", str(self.file))[0]
        )
        cfg = types.Configuration(1, 0, (types.ServiceSpec("one"),))
        response = client.Response(200, snapshots.make_record(cfg))
        against = ("check", str(self.file), "--against", "x")
        with mock.patch.object(client, "send_request", lambda *args: response):
            stale = self.run_command(*against)
            self.file.write_text(json.dumps(note("one")))
            duplicate = self.run_command(*against)
        self.assertEqual((exits.USAGE, exits.USAGE), (stale[0], duplicate[0]))
        self.assertIn("base is 0; the revision in force is 1", stale[1])
        self.assertIn("'one' exists already", duplicate[1])
        self.file.write_text("[1")
        self.assertEqual(
            exits.USAGE, self.run_command("check", str(self.file))[0]
        )

    def test_status_shows_where_a_revision_is_not_known(self):
        def entry(name, revision, status="alive"):
            return {
                "incarnation": name,
                "revision": revision,
                "status": status,
            }

        body = {
            "configuration": {
                "revision": 3,
                "offset": 9,
                "fingerprint": "ab",
                "faults": [],
                "records_missing": False,
            },
            "membership": {"own": entry("a", 3), "instances": []},
        }
        response = client.Response(200, body)
        with mock.patch.object(client, "send_request", lambda *args: response):
            self.assertEqual(exits.DONE, self.run_command("status")[0])
            body["membership"]["instances"] = [
                entry("b", 2),
                entry("c", 1, "suspect"),
                entry("d", 1, "dead"),
            ]
            code, out = self.run_command("status")
        self.assertEqual(exits.PENDING, code)
        self.assertIn("not known to be, has 2", out)
        self.assertIn("not known, had 1", out)
