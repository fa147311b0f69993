"""Simulated executors that crash as soon as they run certain tasks."""

from __future__ import annotations

from cardamompathd import pool_messages
from cardamompathd.peers import pool_codec
from cardamompathd.tests import pool_simulation

CRASH_DELAY = 0.01
"""Seconds from the start of such a task to the crash."""
NEVER = 1e6
DOWN_TIME = 3.2
"""Seconds until a crashed executor is back."""


class CrashSimulation(pool_simulation.Simulation):
    """A simulation in which tasks can crash the executors that run them."""

    def __init__(self, *args, **kwargs):
        self.crashing_tasks = set()
        """Batch, step and index of the tasks that crash executors."""
        self.starts = []
        """Times and runs of all starts."""
        self.crashes = []
        """Times of the crashes, names of the executors and the runs there."""
        self.renames = False
        """Whether a crashed executor is back under another name."""
        self.renamed = set()
        self.refusing = set()
        """Names of the executors to which a network refuses connections."""
        super().__init__(*args, **kwargs)

    def check_duplicates(self, run):
        super().check_duplicates(run)
        self.starts.append((self.now, run))
        if run[:3] in self.crashing_tasks:
            executor = next(
                executor
                for executor in self.executors.values()
                if run in executor.runs
            )
            self.schedule(CRASH_DELAY, lambda: self.crash(executor))

    def crash(self, executor):
        """Crash an executor; connections to it are ended and refused."""
        if executor.unreachable:
            return
        runs = tuple(executor.runs)
        self.crashes.append((self.now, executor.spec.name, runs))
        pending = list(executor.pending_holds)
        executor.crash(NEVER if self.renames else DOWN_TIME)
        if self.renames:
            self.schedule(DOWN_TIME, lambda: self.rename(executor))
        for answer in pending:
            answer()

    def refuse(self, executor, seconds):
        """Cut an executor off in a way that looks like a crash."""
        executor.unreachable = True
        self.refusing.add(executor.spec.name)

        def restore():
            executor.unreachable = False
            self.refusing.discard(executor.spec.name)

        self.schedule(seconds, restore)

    def rename(self, former):
        """Start another process at the address of a crashed executor."""
        spec = former.spec
        name = f"{spec.name}+"
        executor = pool_simulation.FakeExecutor(self, name, spec.domain)
        executor.booted_at = self.now
        executor.spec = executor.spec._replace(
            address=spec.address, incarnation=spec.incarnation + 1
        )
        self.executors[name] = executor
        self.renamed.add(spec.name)

    def starts_of(self, task):
        return [at for at, run in self.starts if run[:3] == task]

    def crashes_under(self, task):
        return [
            at
            for at, _, runs in self.crashes
            if any(run[:3] == task for run in runs)
        ]

    def _time_out(self, instance, request):
        if not self.is_down(request.executor.name):
            super()._time_out(instance, request)
            return
        answer = pool_simulation._make_timeout(request)
        if isinstance(answer, pool_messages.StartAnswered):
            answer = answer._replace(result="unsent", detail="ECONNREFUSED")
        self.schedule(
            pool_simulation.LATENCY,
            lambda: self._deliver_answer(instance, answer),
        )

    def is_down(self, name):
        executor = self.executors.get(name)
        crashed = {crashed for _, crashed, _ in self.crashes}
        is_refused = name in crashed or name in self.refusing
        return is_refused and executor.unreachable

    def _deliver_answer(self, instance, msg):
        if isinstance(msg, pool_messages.HoldFailed) and self.is_down(
            msg.executor
        ):
            msg = self.mark_aborted(msg)
        super()._deliver_answer(instance, msg)

    def mark_aborted(self, msg):
        """Return a failed hold as one whose connection was ended."""
        if msg.executor in self.renamed:
            return msg._replace(restarted=True)
        return msg._replace(aborted=True)

    def _deliver_to_peer(self, instance, msg):
        # What is sent to a controller follows from the codec of the links.
        if isinstance(msg.msg, pool_messages.LossesReported):
            target = self.instances.get(msg.address[0])
            sites = (instance.name, instance.domain), msg.address[:1]
            if target is not None and target.alive and self.reaches(*sites):
                send = pool_codec.decode(pool_codec.encode(msg.msg))
                target.receive(send.to, send.msg)
            return
        super()._deliver_to_peer(instance, msg)
