import random
import unittest

from cardamompath_core import queueing

PARALLELISM = 4.0


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = queueing.TaskQueue()

    def add(self, name, *sizes, arrived=0.0, lane=queueing.SHORT):
        queued = queueing.QueuedJob(name, arrived, arrived + 10.0)
        tasks = [
            queueing.QueuedTask(size, index, lane)
            for index, size in enumerate(sizes)
        ]
        self.queue.add(queued, tasks, PARALLELISM)
        return queued

    def drain(self, lane=queueing.SHORT):
        order = []
        while self.queue.head(lane) is not None:
            _, queued = self.queue.head(lane)
            task = self.queue.pop(lane, PARALLELISM)
            order.append((queued.job, task.index))
        return order

    def test_short_goes_before_long(self):
        self.add("long", 1.0)
        self.add("short", 0.1, arrived=1.0)
        self.assertEqual([("short", 0), ("long", 0)], self.drain())

    def test_job_that_waited_long_goes_before_a_shorter_one(self):
        self.add("long", 1.0)
        self.add("late", 0.1, arrived=queueing.AGEING_FACTOR + 1.0)
        self.assertEqual([("long", 0), ("late", 0)], self.drain())

    def test_job_with_least_work_left_goes_first(self):
        self.add("many", *[0.1] * 80)
        self.add("few", *[0.1] * 40, arrived=0.01)
        self.assertEqual({"few"}, {job for job, _ in self.drain()[:40]})

    def test_started_job_goes_first_as_its_remaining_work_shrinks(self):
        self.add("first", *[0.1] * 80)
        for _ in range(60):
            self.queue.pop(queueing.SHORT, PARALLELISM)
        self.add("second", *[0.1] * 40)
        self.assertEqual({"first"}, {job for job, _ in self.drain()[:20]})

    def test_longest_task_of_a_job_goes_first(self):
        self.add("job", 0.1, 0.5, 0.3)
        self.assertEqual([1, 2, 0], [index for _, index in self.drain()])

    def test_lanes_do_not_block_each_other(self):
        self.add("long", 5.0, lane=queueing.LONG)
        self.add("short", 0.1, arrived=100.0)
        self.assertEqual([("short", 0)], self.drain())
        self.assertEqual(1, self.queue.length(queueing.LONG))

    def test_only_observed_kinds_above_the_typical_size_are_long(self):
        self.assertEqual(queueing.LONG, queueing.choose_lane(1.0, 0.1, True))
        self.assertEqual(queueing.SHORT, queueing.choose_lane(1.0, 0.1, False))
        self.assertEqual(queueing.SHORT, queueing.choose_lane(1.0, 0.9, True))

    def test_withdrawn_jobs_leave_nothing_behind(self):
        jobs = [self.add(f"job-{index}", *[0.1] * 20) for index in range(500)]
        for queued in jobs[1:]:
            self.assertEqual(20, len(self.queue.withdraw(queued)))
        self.assertEqual(20, len(self.queue))
        entries = len(self.queue._heaps[queueing.SHORT])
        self.assertLessEqual(entries, 2 * 20 + queueing.MAX_STALE_ENTRIES)
        self.assertEqual({"job-0"}, {job for job, _ in self.drain()})

    def test_every_task_is_removed_exactly_once(self):
        for seed in range(20):
            rng = random.Random(seed)
            jobs = [
                self.add(f"{seed}-{name}", *[rng.random()] * rng.randint(1, 9))
                for name in range(30)
            ]
            expected = {(job.job, i) for job in jobs for i in job.indexes()}
            cancelled = rng.sample(jobs, 5)
            withdrawn = {
                (job.job, index)
                for job in cancelled
                for index in self.queue.withdraw(job)
            }
            drained = self.drain()
            self.assertEqual(len(drained), len(set(drained)))
            self.assertEqual(expected, withdrawn | set(drained))
            self.assertEqual(0, len(self.queue))
