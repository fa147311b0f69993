import contextlib
import io
import json
import pathlib
import tempfile

from cardamompath_cli import exits
from cardamompath_cli import main
from cardamompathd.tests import instance_fixtures

EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"


class CommandsTest(instance_fixtures.InstanceCase):
    def run_command(self, *argv):
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            try:
                status = main.main(list(argv))
            except SystemExit as exc:
                status = exc.code
        return status, out.getvalue()

    def run_json(self, *argv):
        status, text = self.run_command(*argv, "--json")
        return status, json.loads(text)

    def write(self, body):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = pathlib.Path(folder.name, "job.json")
        file.write_text(json.dumps(body))
        return str(file)

    def test_job_is_submitted_fetched_cancelled_or_refused(self):
        to = ("--to", f"127.0.0.1:{self.port}")
        file = self.write(instance_fixtures.job_body(2))
        status, body = self.run_json("job", "submit", file, *to)
        self.assertEqual((exits.DONE, 2), (status, len(body["tasks"])))
        status, text = self.run_command("job", "get", body["job"], *to)
        self.assertEqual(exits.DONE, status)
        self.assertIn("2 tasks", text)
        slow = self.write(instance_fixtures.job_body(40, 0.5))
        status, body = self.run_json("job", "submit", slow, "--detach", *to)
        self.assertEqual((exits.PENDING, 40), (status, body["total"]))
        status, body = self.run_json("job", "cancel", body["job"], *to)
        self.assertEqual((exits.FAILED, "cancelled"), (status, body["code"]))
        unknown = self.write({"tasks": [{"service": "cinema"}]})
        status, text = self.run_command("job", "submit", unknown, *to)
        self.assertEqual(exits.REFUSED, status)
        self.assertIn("'cinema'", text)
        self.assertEqual(
            exits.USAGE, self.run_command("job", "submit", "/none", *to)[0]
        )

    def test_request_returns_the_payload(self):
        to = ("--to", f"127.0.0.1:{self.port}")
        status, body = self.run_json("request", "booking", '{"a": 1}', *to)
        self.assertEqual(exits.DONE, status)
        self.assertEqual({"echo": {"a": 1}}, body["tasks"][0]["payload"])
        status, text = self.run_command("request", "booking", "{", *to)
        self.assertEqual(exits.USAGE, status)

    def test_status_and_job_lists(self):
        to = ("--to", f"127.0.0.1:{self.operators}")
        status, body = self.run_json("status", *to)
        self.assertEqual((exits.DONE, 1), (status, body["revision"]))
        self.assertIn("queued", self.run_command("status", *to)[1])
        self.assertEqual(
            (exits.DONE, {"jobs": []}), self.run_json("jobs", "stuck", *to)
        )
        self.assertEqual(
            (exits.DONE, "0 jobs\n"), self.run_command("jobs", "list", *to)
        )

    def test_report_of_a_running_instance(self):
        to = ("--to", f"127.0.0.1:{self.port}")
        file = self.write(instance_fixtures.job_body(2, 0.01, team="kiosk"))
        self.assertEqual(
            exits.DONE, self.run_command("job", "submit", file, *to)[0]
        )
        to = ("--to", f"127.0.0.1:{self.operators}")
        status, body = self.run_json("report", "burn", *to)
        for _ in range(1000):
            # The submission may be counted shortly after its answer is sent.
            if body["rows"]:
                break
            status, body = self.run_json("report", "burn", *to)
        parts = [list(row["key"].values()) for row in body["rows"]]
        expected = [
            ["booking", "", ""],
            ["booking", "", "pocitos"],
            ["booking", "kiosk", ""],
        ]
        self.assertEqual((exits.DONE, expected), (status, parts))
        self.assertEqual(0.999, body["rows"][0]["objective"])
        self.assertEqual(1, body["rows"][0]["windows"][0]["counts"]["good"])
        response = body["measures"][0]["response"]
        self.assertEqual(1, response["measured"])
        self.assertEqual(0.0, response["wasted_per_task"])

    def test_unusable_responses_give_no_traceback(self):
        to = ("--to", f"127.0.0.1:{self.platform.port}")
        for argv in (("status",), ("jobs", "stuck"), ("request", "booking")):
            status, text = self.run_command(*argv, *to)
            self.assertEqual(exits.UNREACHABLE, status)
            self.assertNotIn("Traceback", text)

    def test_settings_are_checked_and_explained(self):
        for name in ("manta-alta.ini", "plume-guild.ini"):
            file = str(EXAMPLES / name)
            status, body = self.run_json("settings", "check", file)
            self.assertEqual(
                (exits.DONE, {"valid": True, "faults": []}), (status, body)
            )
        both = [
            str(EXAMPLES / "manta-alta.ini"),
            str(EXAMPLES / "entry-2.ini"),
        ]
        self.assertEqual(
            exits.DONE, self.run_command("settings", "check", *both)[0]
        )
        status, body = self.run_json("settings", "explain")
        units = {
            (row["section"], row["key"]): row["unit"]
            for row in body["settings"]
        }
        self.assertEqual("bytes", units["callers", "payload_limit"])
        self.assertEqual("", units["instance", "name"])

    def test_every_fault_of_settings_is_reported(self):
        file = self.write({})
        pathlib.Path(file).write_text(
            "[instance]\nname = A B\ngrace = x\n[callers]\nthread = 3\n"
        )
        status, body = self.run_json("settings", "check", file)
        self.assertEqual(exits.USAGE, status)
        faulty = {(fault["section"], fault["key"]) for fault in body["faults"]}
        expected = {
            ("instance", "name"),
            ("instance", "grace"),
            ("instance", "domain"),
            ("callers", "thread"),
        }
        self.assertLessEqual(expected, faulty)

    def test_settings_of_the_pool_are_checked_by_their_own_table(self):
        # By the table of an instance every key of a pool file is unknown.
        file = self.write({})
        pathlib.Path(file).write_text("[room]\nreports = on\n")
        status, body = self.run_json("settings", "check", file, "--pool")
        self.assertEqual((exits.DONE, []), (status, body["faults"]))
        pathlib.Path(file).write_text(
            "[room]\nreports = yes\n[shares]\nleast_share = 2\n"
        )
        status, body = self.run_json("settings", "check", file, "--pool")
        self.assertEqual(exits.USAGE, status)
        faulty = {(fault["section"], fault["key"]) for fault in body["faults"]}
        expected = {("room", "reports"), ("shares", "least_share")}
        self.assertEqual(expected, faulty)
        status, body = self.run_json("settings", "explain", "--pool")
        names = {(row["section"], row["key"]) for row in body["settings"]}
        self.assertIn(("placement", "reservations"), names)

    def test_help_names_exit_codes_and_bad_usage_fails(self):
        status, text = self.run_command("--help")
        self.assertIn("Exit codes", text)
        self.assertEqual(exits.USAGE, self.run_command("bogus")[0])
