"""The listeners for callers and operators over HTTP.

An invalid request must be answered with one line of reason, and must leave
no job, no queued task and no blocked thread behind.
"""

import json
import threading
import unittest

from cardamompathd.tests import instance_fixtures
from cardamompathd.tests.instance_fixtures import call
from cardamompathd.tests.instance_fixtures import job_body
from cardamompathd.tests.instance_fixtures import send_raw

FOREIGN_JOB = "pocitos.entry-2.0123456789ab.1"


class BadInputTest(instance_fixtures.InstanceCase):
    def check_error(self, answer, status, code):
        self.assertEqual((status, code), (answer[0], answer[1].get("code")))
        self.assertTrue(answer[1]["reason"])
        self.assertNotIn("\n", answer[1]["reason"])

    def tearDown(self):
        status = call(self.operators, "GET", "/v1/status")[1]
        self.assertEqual(0, status["jobs"]["unanswered"])
        self.assertEqual(0, status["backends"]["queued"])
        self.assertEqual(200, call(self.operators, "GET", "/live")[0])
        self.assertEqual(201, call(self.port, "POST", "/v1/jobs")[0])

    def submit(self, body):
        return call(self.port, "PUT", f"/v1/jobs/{self.issue_job()}", body)

    def test_bodies_that_are_not_json_objects(self):
        deep = "[" * 200_000
        for body in ("{", deep, '{"tasks": NaN}', "[1]", "\xff"):
            self.check_error(self.submit(body), 400, "bad_json")

    def test_numbers_out_of_range_and_duplicate_keys(self):
        for body in (
            '{"timeout": 1e400}',
            '{"tasks": [{"payload": -1e999}]}',
            '{"tasks": [], "tasks": [1]}',
        ):
            self.check_error(self.submit(body), 400, "bad_json")

    def test_conflicting_lengths(self):
        raw = (
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 0\r\nContent-Length: 5\r\n\r\nabcde"
        )
        status, body = send_raw(self.port, raw)
        self.assertEqual((400, "bad_http"), (status, body["code"]))

    def test_invalid_fields(self):
        for body in (
            {},
            {"tasks": []},
            {"tasks": [1]},
            job_body(timeout=0),
            job_body(timeout=1e9),
            job_body(team="a\r\nb"),
            job_body(tasks=[{"service": "booking", "kind": "x\r\nA: b"}]),
            job_body(tasks=[{"service": "booking", "declared": -1}]),
            job_body(surprise=1),
            job_body(tasks=[{"service": "booking", "payloat": 1}]),
        ):
            self.check_error(self.submit(body), 400, "bad_request")
        answer = call(
            self.port,
            "POST",
            "/v1/requests",
            {"service": "booking", "idempotent": "yes"},
        )
        self.check_error(answer, 400, "bad_request")

    def test_sizes_above_the_limits(self):
        self.check_error(self.submit(job_body(841)), 413, "too_many_tasks")
        big = job_body(tasks=[{"service": "booking", "payload": "x" * 2000}])
        self.check_error(self.submit(big), 413, "payload_too_large")
        answer = self.submit(b"x" * (20 << 20))
        self.check_error(answer, 413, "body_too_large")

    def test_unknown_names(self):
        unknown = job_body(tasks=[{"service": "cinema"}])
        self.check_error(self.submit(unknown), 404, "unknown_service")
        not_issued = self.issue_job().rpartition(".")[0] + ".999"
        for method, body in (("GET", None), ("PUT", job_body())):
            answer = call(self.port, method, f"/v1/jobs/{not_issued}", body)
            self.check_error(answer, 404, "unknown_job")
        answer = call(self.port, "GET", f"/v1/jobs/{self.issue_job()}")
        self.assertEqual((202, "pending"), (answer[0], answer[1]["outcome"]))
        self.check_error(
            call(self.port, "GET", "/nowhere"), 404, "unknown_path"
        )
        malformed = call(self.port, "GET", "/v1/jobs/x")
        self.check_error(malformed, 400, "bad_identifier")
        not_allowed = call(self.port, "PATCH", "/v1/jobs")
        self.check_error(not_allowed, 405, "method_not_allowed")
        foreign = call(self.port, "GET", f"/v1/jobs/{FOREIGN_JOB}")
        self.assertEqual((202, "pending"), (foreign[0], foreign[1]["outcome"]))

    def test_different_body_is_a_conflict(self):
        path = f"/v1/jobs/{self.issue_job()}?wait=20"
        self.assertEqual(200, call(self.port, "PUT", path, job_body(1))[0])
        self.assertEqual(200, call(self.port, "PUT", path, job_body(1))[0])
        answer = call(self.port, "PUT", path, job_body(2))
        self.check_error(answer, 409, "conflict")

    def test_invalid_queries_and_paths(self):
        for wait in ("abc", "nan", "inf", "-1", "61", ""):
            path = f"/v1/jobs/{FOREIGN_JOB}?wait={wait}"
            self.check_error(call(self.port, "GET", path), 400, "bad_query")
        for size in (1000, 40_000):
            answer = call(self.port, "GET", "/" + "x" * size)
            self.check_error(answer, 414, "path_too_long")

    def test_too_large_and_incomplete_headers(self):
        head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
        answer = send_raw(self.port, head + b"A: b\r\n" * 10_000)
        self.check_error(answer, 431, "headers_too_large")
        answer = send_raw(self.port, head)
        self.check_error(answer, 408, "request_timeout")

    def test_invalid_lengths_and_incomplete_bodies(self):
        head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
        for length in (b"-5", b"x", b"1_0", b"+1"):
            raw = head + b"Content-Length: " + length + b"\r\n\r\n{}"
            self.check_error(send_raw(self.port, raw), 400, "bad_http")
        raw = head + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
        self.check_error(send_raw(self.port, raw), 411, "length_required")
        raw = head + b"Content-Length: 50\r\n\r\n{}"
        answer = send_raw(self.port, raw, shut_down=True)
        self.check_error(answer, 400, "body_cut_short")
        self.check_error(send_raw(self.port, b"nonsense\r\n"), 400, "bad_http")


class WaitingTest(instance_fixtures.InstanceCase):
    def submit(self, wait, **fields):
        path = f"/v1/jobs/{self.issue_job()}?wait={wait}"
        return call(self.port, "PUT", path, job_body(**fields))

    def test_pending_answer_has_task_counts(self):
        answer = self.submit(0, count=3, work=0.3)
        self.assertEqual(202, answer[0])
        self.assertEqual((0, 3), (answer[1]["finished"], answer[1]["total"]))
        answer = call(self.port, "GET", f"/v1/jobs/{answer[1]['job']}?wait=9")
        self.assertEqual("complete", answer[1]["outcome"])
        self.assertEqual(3, len(answer[1]["tasks"]))

    def test_waiting_callers_leave_threads_for_others(self):
        # Of the 6 threads, 3 may wait.
        waiting = [
            threading.Thread(target=self.submit, args=(20,), kwargs=fields)
            for fields in [{"work": 1.0}] * 3
        ]
        for thread in waiting:
            thread.start()
        while call(self.operators, "GET", "/v1/status")[1]["jobs"][
            "unanswered"
        ] < len(waiting):
            pass
        self.assertEqual(202, self.submit(20, work=0.1)[0])
        single = {"service": "booking"}
        answer = call(self.port, "POST", "/v1/requests", single)
        self.assertEqual((503, "overloaded"), (answer[0], answer[1]["code"]))
        self.assertEqual(200, call(self.operators, "GET", "/ready")[0])
        for thread in waiting:
            thread.join()


class SilentConnectionsTest(instance_fixtures.InstanceCase):
    timeout = 60

    def test_silent_connections_occupy_no_thread(self):
        socks = [
            instance_fixtures.socket.create_connection(
                ("127.0.0.1", self.port)
            )
            for _ in range(12)
        ]
        self.assertEqual(201, call(self.port, "POST", "/v1/jobs")[0])
        for sock in socks:
            sock.close()


class OperatorsTest(instance_fixtures.InstanceCase):
    def get_page(self, path):
        return call(self.operators, "GET", path)

    def test_pages_after_a_job(self):
        path = f"/v1/jobs/{self.issue_job()}?wait=20"
        call(self.port, "PUT", path, job_body(2, team="kiosk"))
        page = self.get_page("/metrics")[1]
        line = 'cardamompath_submissions_total{code="",outcome="complete"} 1.0'
        self.assertIn(line, page)
        self.assertIn('cardamompath_tasks_total{verdict="finished"} 2', page)
        self.assertIn("cardamompath_revision 1.0", page)
        self.assertIn("cardamompath_resident_memory_bytes", page)
        series = self.get_page("/v1/burn")[1]["buckets"][0]["series"][0]
        self.assertEqual(
            ("booking", "kiosk", 1),
            (series["service"], series["team"], series["complete"]),
        )
        self.assertEqual("complete", self.list_jobs()[0]["state"])
        self.assertEqual([], self.get_page("/v1/jobs?stuck=yes")[1]["jobs"])
        self.assertEqual(400, self.get_page("/v1/jobs?stuck=maybe")[0])
        cfg = self.get_page("/v1/configuration")[1]
        self.assertEqual("executor-0", cfg["backends"][0]["name"])
        json.dumps(self.get_page("/v1/status")[1])
        self.assertEqual(404, self.get_page("/v2")[0])


if __name__ == "__main__":
    unittest.main()
