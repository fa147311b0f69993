import json
import threading
import unittest

from cardamompathd.tests import edge_fixtures
from cardamompathd.tests.edge_fixtures import call
from cardamompathd.tests.edge_fixtures import job_body
from cardamompathd.tests.edge_fixtures import send_raw

FOREIGN = "pocitos.entry-2.0123456789ab.1"


class BadInputTest(edge_fixtures.InstanceCase):
    def check(self, answer, status, code):
        self.assertEqual((status, code), (answer[0], answer[1].get("code")))
        self.assertTrue(answer[1]["reason"])
        self.assertNotIn("\n", answer[1]["reason"])

    def tearDown(self):
        status = call(self.operators, "GET", "/v1/status")[1]
        self.assertEqual(0, status["jobs"]["unanswered"])
        self.assertEqual(0, status["backends"]["queued"])
        self.assertEqual(200, call(self.operators, "GET", "/live")[0])
        self.assertEqual(201, call(self.port, "POST", "/v1/jobs")[0])

    def put(self, body):
        return call(self.port, "PUT", f"/v1/jobs/{self.issue()}", body)

    def test_bodies_that_are_not_json_objects(self):
        deep = "[" * 200_000
        for body in ("{", deep, '{"tasks": NaN}', "[1]", "\xff"):
            self.check(self.put(body), 400, "bad_json")

    def test_numbers_beyond_range_and_keys_given_twice(self):
        for body in (
            '{"timeout": 1e400}',
            '{"tasks": [{"payload": -1e999}]}',
            '{"tasks": [], "tasks": [1]}',
        ):
            self.check(self.put(body), 400, "bad_json")

    def test_two_different_lengths(self):
        raw = (
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 0\r\nContent-Length: 5\r\n\r\nabcde"
        )
        status, body = send_raw(self.port, raw)
        self.assertEqual((400, "bad_http"), (status, body["code"]))

    def test_fields_that_are_wrong(self):
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
            self.check(self.put(body), 400, "bad_request")
        answer = call(
            self.port,
            "POST",
            "/v1/requests",
            {"service": "booking", "idempotent": "yes"},
        )
        self.check(answer, 400, "bad_request")

    def test_too_much(self):
        self.check(self.put(job_body(841)), 413, "too_many_tasks")
        big = job_body(tasks=[{"service": "booking", "payload": "x" * 2000}])
        self.check(self.put(big), 413, "payload_too_large")
        answer = self.put(b"x" * (20 << 20))
        self.check(answer, 413, "body_too_large")

    def test_names_that_are_not_known(self):
        unknown = job_body(tasks=[{"service": "cinema"}])
        self.check(self.put(unknown), 404, "unknown_service")
        never = self.issue().rpartition(".")[0] + ".999"
        for method, body in (("GET", None), ("PUT", job_body())):
            answer = call(self.port, method, f"/v1/jobs/{never}", body)
            self.check(answer, 404, "unknown_job")
        answer = call(self.port, "GET", f"/v1/jobs/{self.issue()}")
        self.assertEqual((202, "pending"), (answer[0], answer[1]["outcome"]))
        self.check(call(self.port, "GET", "/nowhere"), 404, "unknown_path")
        get = call(self.port, "GET", "/v1/jobs/x")
        self.check(get, 400, "bad_identifier")
        patch = call(self.port, "PATCH", "/v1/jobs")
        self.check(patch, 405, "method_not_allowed")
        owner = call(self.port, "GET", f"/v1/jobs/{FOREIGN}")
        self.assertEqual((202, "pending"), (owner[0], owner[1]["outcome"]))

    def test_another_body_is_a_conflict(self):
        path = f"/v1/jobs/{self.issue()}?wait=20"
        self.assertEqual(200, call(self.port, "PUT", path, job_body(1))[0])
        self.assertEqual(200, call(self.port, "PUT", path, job_body(1))[0])
        answer = call(self.port, "PUT", path, job_body(2))
        self.check(answer, 409, "conflict")

    def test_queries_and_paths(self):
        for wait in ("abc", "nan", "inf", "-1", "61", ""):
            path = f"/v1/jobs/{FOREIGN}?wait={wait}"
            self.check(call(self.port, "GET", path), 400, "bad_query")
        for size in (1000, 40_000):
            answer = call(self.port, "GET", "/" + "x" * size)
            self.check(answer, 414, "path_too_long")

    def test_headers_that_never_end(self):
        begin = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
        answer = send_raw(self.port, begin + b"A: b\r\n" * 10_000)
        self.check(answer, 431, "headers_too_large")
        answer = send_raw(self.port, begin)
        self.check(answer, 408, "request_timeout")

    def test_lengths_and_bodies_that_do_not_fit(self):
        begin = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
        for length in (b"-5", b"x", b"1_0", b"+1"):
            raw = begin + b"Content-Length: " + length + b"\r\n\r\n{}"
            self.check(send_raw(self.port, raw), 400, "bad_http")
        raw = begin + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
        self.check(send_raw(self.port, raw), 411, "length_required")
        raw = begin + b"Content-Length: 50\r\n\r\n{}"
        answer = send_raw(self.port, raw, end=True)
        self.check(answer, 400, "body_cut_short")
        self.check(send_raw(self.port, b"nonsense\r\n"), 400, "bad_http")


class WaitingTest(edge_fixtures.InstanceCase):
    def submit(self, wait, **fields):
        path = f"/v1/jobs/{self.issue()}?wait={wait}"
        return call(self.port, "PUT", path, job_body(**fields))

    def test_pending_answer_has_counts(self):
        answer = self.submit(0, count=3, work=0.3)
        self.assertEqual(202, answer[0])
        self.assertEqual((0, 3), (answer[1]["finished"], answer[1]["total"]))
        answer = call(self.port, "GET", f"/v1/jobs/{answer[1]['job']}?wait=9")
        self.assertEqual("complete", answer[1]["outcome"])
        self.assertEqual(3, len(answer[1]["tasks"]))

    def test_waiting_callers_leave_threads_for_others(self):
        # 6 threads: 3 places to wait.
        waits = [
            threading.Thread(target=self.submit, args=(20,), kwargs=fields)
            for fields in [{"work": 1.0}] * 3
        ]
        for one in waits:
            one.start()
        while call(self.operators, "GET", "/v1/status")[1]["jobs"][
            "unanswered"
        ] < len(waits):
            pass
        self.assertEqual(202, self.submit(20, work=0.1)[0])
        single = {"service": "booking"}
        answer = call(self.port, "POST", "/v1/requests", single)
        self.assertEqual((503, "overloaded"), (answer[0], answer[1]["code"]))
        self.assertEqual(200, call(self.operators, "GET", "/ready")[0])
        for one in waits:
            one.join()


class SilentTest(edge_fixtures.InstanceCase):
    timeout = 60

    def test_silent_connections_take_no_thread(self):
        socks = [
            edge_fixtures.socket.create_connection(("127.0.0.1", self.port))
            for _ in range(12)
        ]
        self.assertEqual(201, call(self.port, "POST", "/v1/jobs")[0])
        for sock in socks:
            sock.close()


class OperatorsTest(edge_fixtures.InstanceCase):
    def get(self, path):
        return call(self.operators, "GET", path)

    def test_pages(self):
        path = f"/v1/jobs/{self.issue()}?wait=20"
        call(self.port, "PUT", path, job_body(2, team="kiosk"))
        page = self.get("/metrics")[1]
        line = 'cardamompath_submissions_total{code="",outcome="complete"} 1.0'
        self.assertIn(line, page)
        self.assertIn('cardamompath_tasks_total{verdict="finished"} 2', page)
        self.assertIn("cardamompath_revision 1.0", page)
        self.assertIn("cardamompath_resident_memory_bytes", page)
        series = self.get("/v1/burn")[1]["buckets"][0]["series"][0]
        self.assertEqual(
            ("booking", "kiosk", 1),
            (series["service"], series["team"], series["complete"]),
        )
        self.assertEqual("complete", self.jobs()[0]["state"])
        self.assertEqual([], self.get("/v1/jobs?stuck=yes")[1]["jobs"])
        self.assertEqual(400, self.get("/v1/jobs?stuck=maybe")[0])
        cfg = self.get("/v1/configuration")[1]
        self.assertEqual("executor-0", cfg["backends"][0]["name"])
        json.dumps(self.get("/v1/status")[1])
        self.assertEqual(404, self.get("/v2")[0])


if __name__ == "__main__":
    unittest.main()
