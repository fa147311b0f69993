"""Planners that the store does not answer, and readings of other instances.

The followers of the executors are real ones, on a store in virtual time.
"""

import collections
import json
import unittest

from cardamompath_core import batches
from cardamompath_core import executor_readings
from cardamompath_core import executors
from cardamompathd import pool_messages
from cardamompathd.peers import pool_codec
from cardamompathd.platform import errors
from cardamompathd.platform import executor_followers
from cardamompathd.platform import store
from cardamompathd.tests import pool_simulation

DRAIN_TIME = 2.0
"""Seconds for which a draining executor may be given work."""
RESIZE_TIME = 3.8
"""Seconds for which a capacity that has shrunk may be filled."""
WRITE_INTERVAL = 1.5
"""Seconds between two entries of an executor."""
EXCHANGED = (pool_messages.ExecutorsAsked, pool_messages.ExecutorsAnswered)


class FakeStore:
    """The topic of the executors, and how it answers each instance."""

    def __init__(self):
        self.records = []
        self.first_kept = 0
        self.is_down = False
        self.is_silent = False
        """Whether it gives no answer while it is down."""
        self.rejected = set()
        self.silent_connections = set()
        """Open connections that went silent, by type of the task and name of
        the instance."""

    def publish(self, spec):
        doc = {
            "service": spec.service,
            "addr": f"10.0.{ord(spec.domain)}.{spec.name[-1]}:1",
            "zone": spec.domain,
            "state": spec.state,
            "capacity": {
                "cpu": spec.capacity.cpu, "mem_mb": spec.capacity.memory
            },
            "labels": list(spec.labels),
            "born": spec.incarnation,
        }  # fmt: skip
        raw = json.dumps(doc).encode()
        self.records.append(store.Record(spec.name, raw))


class FakeClient:
    """A connection of a task to the store."""

    def __init__(self, fake_store, task):
        self.store = fake_store
        self.task = task

    def reconnect(self):
        """Do nothing; the reader opens a connection with each question."""

    def _connect(self, timeout):
        name = self.task.instance.name
        connection = type(self.task), name
        if connection in self.store.silent_connections:
            self.store.silent_connections.discard(connection)
            self.task.busy += timeout
            raise errors.StoreUnavailable("silent")
        if self.store.is_down and self.store.is_silent:
            self.task.busy += timeout
        if self.store.is_down or name in self.store.rejected:
            raise errors.StoreUnavailable("status 503")
        self.task.busy += 0.004

    def read_newest(self, _, timeout=store.TIMEOUT):
        self._connect(timeout)
        newest = {record.key: record for record in self.store.records}
        return list(newest.values()), len(self.store.records)

    def read(self, _, offset, __, timeout=store.TIMEOUT):
        self._connect(timeout)
        if offset < self.store.first_kept:
            raise errors.RecordsExpired(f"{offset}")
        return self.store.records[offset:], len(self.store.records)

    def read_changes(self, topic, offset, timeout=store.TIMEOUT):
        return self.read(topic, offset, 0.0, timeout)


class Task:
    """Runs a task in virtual time; a call to the store takes a while."""

    def __init__(self, simulation, instance):
        self.simulation = simulation
        self.instance = instance
        self.client = FakeClient(simulation.store, self)
        self.busy = 0.0
        self.free_at = 0.0

    def clock(self):
        return self.simulation.now + self.busy

    def tell(self, msg):
        self.simulation.schedule(
            self.busy, lambda: self.instance.receive("planner", msg)
        )


class ReaderTask(Task):
    """Runs a reader, which handles one question after the other."""

    def __init__(self, simulation, instance):
        super().__init__(simulation, instance)
        self.reader = executor_followers.ExecutorReader(
            self.client, self.tell, self.clock, instance.name
        )

    def receive(self, question):
        received_at = self.simulation.now
        self.busy = max(0.0, self.free_at - received_at)
        self.reader._handle(question, received_at)
        self.free_at = self.clock()


class FollowerTask(Task):
    """Runs a follower, which polls."""

    def __init__(self, simulation, instance):
        super().__init__(simulation, instance)
        self.polls = 0
        is_earlier = instance.name in simulation.earlier
        report = None if is_earlier else self.tell
        self.follower = executor_followers.ExecutorFollower(
            self.client, self.tell, self.clock, report
        )
        self.poll()

    def receive(self, msg):
        self.follower.receive(msg)
        self.handle_messages()

    def poll(self):
        self.busy = 0.0
        pause = self.follower._poll_once()
        self.polls += 1
        number = self.polls
        self.free_at = self.simulation.now + self.busy
        self.simulation.schedule(self.busy, self.handle_messages)
        self.simulation.schedule(
            self.busy + pause,
            lambda: self.poll() if number == self.polls else None,
        )

    def handle_messages(self):
        if not self.instance.alive or self.simulation.now < self.free_at:
            return
        self.busy = 0.0
        while not self.follower._inbox.empty():
            if not self.follower._receive(self.follower._inbox.get()):
                self.poll()
                return


class Simulation(pool_simulation.Simulation):
    """Instances whose followers read a store.

    Parameters
    ----------
    earlier : sequence of str
        Names of the instances of an earlier version, which tell others of no
        readings.
    """

    def __init__(self, earlier=(), domains=("a", "b", "c", "d")):
        self.store = FakeStore()
        self.earlier = earlier
        self.tasks = {}
        self.readers = {}
        self.sent_entries = 0
        """Entries in these messages."""
        self.sent = collections.Counter()
        """Messages about readings between instances, by type and receiver."""
        self.last_number = 0
        """Number of the last question."""
        self.lost_messages = ()
        """Types of messages between instances that are lost."""
        super().__init__(domains)

    def add_instance(self, name, domain, started):
        if not self.store.records:
            self.write_entries()
        instance = super().add_instance(name, domain, started)
        self.tasks[name] = FollowerTask(self, instance)
        self.readers[name] = ReaderTask(self, instance)
        return instance

    def write_entries(self):
        """Have all executors write their entries, now and regularly."""
        for executor in self.executors.values():
            if not executor.unreachable:
                self.store.publish(executor.spec)
        self.schedule(WRITE_INTERVAL, self.write_entries)

    def send_listing(self, instance):
        """Leave it to the followers."""

    def route(self, instance, send):
        if isinstance(send.msg, pool_messages.ExecutorsAsked):
            self.readers[instance.name].receive(send.msg)
        elif send.to == pool_messages.LISTINGS:
            self.tasks[instance.name].receive(send.msg)
        else:
            super().route(instance, send)

    def _deliver_to_peer(self, instance, msg):
        if isinstance(msg.msg, EXCHANGED):
            self.sent[type(msg.msg), msg.address[0]] += 1
            raw = pool_codec.encode(msg.msg)
            msg = msg._replace(msg=pool_codec.decode(raw).msg)
        if isinstance(msg.msg, pool_messages.ExecutorsAsked):
            self.last_number = msg.msg.number
        elif isinstance(msg.msg, pool_messages.ExecutorsAnswered):
            self.sent_entries += len(msg.msg.answer.entries)
        if not isinstance(msg.msg, self.lost_messages):
            super()._deliver_to_peer(instance, msg)

    def change(self, name, **changes):
        """Change an executor and its entry in the store."""
        executor = self.executors[name]
        executor.spec = executor.spec._replace(**changes)
        self.store.publish(executor.spec)
        return executor


class ExecutorReadingsTest(unittest.TestCase):
    def setUp(self):
        self.start()

    def start(self, **options):
        self.simulation = Simulation(**options)
        self.store = self.simulation.store
        self.instances = self.simulation.instances
        self.replies = []
        self.advance(1.0)

    def tearDown(self):
        self.assertEqual(self.simulation.duplicate_runs, [])

    def advance(self, seconds):
        """Submit batches at instances that do not plan, and let time pass."""
        for _ in range(round(seconds / 0.1)):
            instance = self.instances["n-d"]
            name = f"j{len(self.replies)}"
            self.replies.append(self.simulation.submit(instance, name, 6, 1.5))
            self.simulation.advance(0.1)

    def record_starts(self, name):
        """Return the starts on an executor: when, and how many ran then."""
        starts = []
        executor = self.simulation.executors[name]
        start = executor.start

        def record(request):
            before = executor.start_count
            result = start(request)
            if executor.start_count > before:
                starts.append((self.simulation.now, len(executor.runs)))
            return result

        executor.start = record
        return starts

    def count_complete(self):
        answers = self.simulation.answers
        states = [answers[each].state for each in self.replies[:-20]]
        return states.count(batches.COMPLETE)

    def sources(self, name="n-a"):
        decisions = self.instances[name].decisions_of("executor list")
        return [decision.fields["source"] for decision in decisions]

    def drain_while_rejected(self):
        """Return the starts on an executor that drains, and since when."""
        self.store.rejected.add("n-a")
        self.advance(0.3)
        starts = self.record_starts("x-b0")
        self.simulation.change("x-b0", state=executors.DRAINING)
        changed_at = self.simulation.now
        self.advance(8.7)
        self.store.rejected.clear()
        self.advance(2.0)
        return [at - changed_at for at, _ in starts]

    def test_rejected_planner_leaves_an_executor_that_drains(self):
        late = self.drain_while_rejected()
        self.assertLess(max(late, default=0.0), DRAIN_TIME)
        self.assertEqual(self.sources(), ["peers", "own"])
        sent = self.simulation.sent.copy()
        questions = 9.0 / executor_readings.ASK_INTERVAL
        self.assertLessEqual(max(sent.values()), 3 * questions)
        # The whole list, and one change, from each of those that are asked.
        self.assertLessEqual(self.simulation.sent_entries, 3 * (8 + 1))
        self.advance(2.0)
        self.assertEqual(self.simulation.sent, sent)

    def test_rejected_planner_does_not_fill_a_smaller_executor(self):
        executor = self.simulation.executors["x-b0"]
        executor.accepts_all = True
        self.store.rejected.add("n-a")
        self.advance(0.3)
        starts = self.record_starts("x-b0")
        small = executors.Resources(4000, 32768)
        self.simulation.change("x-b0", capacity=small)
        changed_at = self.simulation.now
        self.advance(8.7)
        late = [
            running for at, running in starts if at > changed_at + RESIZE_TIME
        ]
        self.assertEqual(set(late), {1})

    def test_executor_restarts_under_its_name_while_planner_is_rejected(self):
        # It got no task until the store answered, as its entry was unknown.
        self.store.rejected.add("n-a")
        self.advance(1.0)
        executor = self.simulation.executors["x-b0"]
        executor.crash(0.5)
        self.advance(0.6)
        self.store.publish(executor.spec)
        starts = self.record_starts("x-b0")
        self.advance(2.0)
        self.assertGreater(len(starts), 0)

    def test_history_that_is_no_longer_kept(self):
        self.store.rejected.add("n-a")
        self.store.publish(self.simulation.executors["x-a0"].spec)
        self.store.first_kept = len(self.store.records)
        self.test_rejected_planner_leaves_an_executor_that_drains()

    def drain_unseen(self):
        """Have an executor drain just after the others have read the list."""
        polls = self.simulation.tasks["n-b"].polls
        while self.simulation.tasks["n-b"].polls == polls:
            self.advance(0.1)
        for name in ("n-b", "n-c", "n-d"):
            self.store.silent_connections.add((FollowerTask, name))
        self.simulation.change("x-b0", state=executors.DRAINING)
        return self.simulation.now

    def test_new_planner_whose_connection_is_silent(self):
        # It took the store for down, and its old list for the present one.
        changed_at = self.drain_unseen()
        self.advance(3.2)
        self.instances["n-a"].alive = False
        starts = self.record_starts("x-b0")
        self.advance(4.0)
        self.assertTrue(self.instances["n-b"].decisions_of("began to plan"))
        late = [at for at, _ in starts if at > changed_at + DRAIN_TIME]
        self.assertEqual(late, [])
        self.assertIn("peers", self.sources("n-b"))
        self.assertEqual(self.last_state(), batches.COMPLETE)

    def test_new_planner_asks_at_once_when_its_predecessor_leaves(self):
        # It asked with its next tick, up to half a second later, and had
        # started tasks by its old list before.
        for delay in (0.0, 0.1, 0.2, 0.3, 0.4):
            with self.subTest(delay=delay):
                self.start()
                changed_at = self.drain_unseen()
                self.advance(3.2 + delay)
                self.instances["n-a"].receive(
                    pool_messages.FLEET, pool_messages.Leave()
                )
                starts = self.record_starts("x-b0")
                self.advance(4.0)
                began = self.instances["n-b"].decisions_of("began to plan")
                self.assertTrue(began)
                late = [at for at, _ in starts if at > changed_at + DRAIN_TIME]
                self.assertEqual(late, [])

    def last_state(self):
        return self.simulation.answers[self.replies[-15]].state

    def count_with_store_down(self, silent, takeover):
        """Return how many batches complete beside an outage, and starts."""
        self.store.is_down, self.store.is_silent = True, silent
        self.advance(1.0)
        if takeover:
            self.instances["n-a"].alive = False
        self.advance(6.0)
        self.store.is_down = False
        self.advance(4.0)
        return self.count_complete()

    def test_store_down_for_all_changes_nothing(self):
        for silent in (False, True):
            for takeover in (False, True):
                counts = []
                for earlier in (("n-a", "n-b", "n-c", "n-d"), ()):
                    self.start(earlier=earlier)
                    counts.append(self.count_with_store_down(silent, takeover))
                with self.subTest(silent=silent, takeover=takeover):
                    self.assertGreaterEqual(counts[1], counts[0])

    def test_planner_goes_on_if_no_peer_answers(self):
        self.simulation.lost_messages = EXCHANGED
        self.store.rejected.add("n-a")
        rejected_at = self.simulation.now
        starts = [
            self.record_starts(name) for name in self.simulation.executors
        ]
        self.advance(9.0)
        # Its reading is too old, and a peer may answer.
        awaited = [
            at - rejected_at
            for each in starts
            for at, _ in each
            if 1.55 < at - rejected_at < 1.9
        ]
        self.assertEqual(awaited, [])
        self.assertEqual(self.sources(), ["awaited", "old"])
        self.assertEqual(self.last_state(), batches.COMPLETE)

    def test_only_members_that_know_the_message_are_asked(self):
        # One of an earlier version closes the link, and with it heartbeats.
        self.start(earlier=("n-b", "n-c"))
        self.store.rejected.add("n-a")
        self.advance(6.0)
        asked = {name for _, name in self.simulation.sent}
        self.assertEqual(asked, {"n-a", "n-d"})
        self.assertEqual(self.sources(), ["peers"])

    def test_nothing_is_sent_while_the_store_answers(self):
        self.instances["n-a"].alive = False
        self.advance(4.0)
        self.assertEqual(self.simulation.sent, {})
        self.assertEqual(self.sources("n-b"), [])

    def test_faulty_and_replayed_answers_are_dropped(self):
        planner = self.instances["n-a"]
        self.store.rejected.add("n-a")
        self.advance(2.0)
        last = self.simulation.last_number
        # Of a former process, of an answered question, and of none.
        for number in (1, last, last + 9) * 9:
            answer = executor_readings.Answer(
                number, "n-b", True, -1, 99, 0, 1, ()
            )
            raw = pool_codec.encode(pool_messages.ExecutorsAnswered(answer))
            planner.receive("planner", pool_codec.decode(raw).msg)
        decisions = planner.decisions_of("invalid executor list")
        self.assertEqual(len(decisions), 1)
        self.assertEqual(self.sources(), ["peers"])
        late = self.drain_while_rejected()
        self.assertLess(max(late, default=0.0), DRAIN_TIME)
