"""Instances with the real controllers, and executors, in virtual time."""

import heapq
import itertools

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompath_core import routes
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import fleet
from cardamompathd.controllers import gateway
from cardamompathd.controllers import planner

LATENCY = 0.002
LEASE = 1.0
STOP_TIME = 0.04
LISTING_INTERVAL = 0.4
HOST = "desk.example"
TERMS = batches.RoutePolicy("r-1", "desk", 0, 2, 1.6, 0.06)
TABLE = routes.make_table(
    1, [routes.Route(HOST, "/jobs/", 1.5, TERMS)], ["desk"]
)


def make_steps(count=2, cpu=4000):
    return (batches.Step(count, executors.Resources(cpu, 64), 0.2),)


class FakeExecutor:
    """Runs tasks under leases, as executors promise."""

    def __init__(self, world, name, domain, cpu=8000):
        self.world = world
        room = executors.Resources(cpu, 32768)
        self.spec = executors.Executor(
            name, "desk", domain, (name, 1), 1, "ready", room, ("a",)
        )
        self.token = 0
        self.lease_until = 0.0
        self.runs = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.highest = {}
        self.waiting = []
        self.dark = False
        self.fails = False
        self.stalls = False
        self.lose_answers = 0
        self.started = 0

    def clock(self):
        return self.world.now - 50.0

    def lapse(self):
        if self.runs and self.world.now > self.lease_until:
            for run in list(self.runs):
                self.end(run, "lapsed")

    def end(self, run, how):
        if run not in self.runs:
            return
        del self.runs[run]
        entry = pool_messages.EndedRun(next(self.numbers), run, how)
        self.ended.append(entry)
        self.highest[run[:3]] = max(self.highest.get(run[:3], 0), run.attempt)
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()

    def start(self, order):
        now = self.clock()
        if order.token < self.token:
            return "fenced"
        self.token = order.token
        if order.run in self.runs:
            return "started"
        if order.expires <= now:
            return "late"
        if order.run.attempt <= self.highest.get(order.run[:3], 0):
            return "old"
        free = self.spec.capacity.cpu - 4000 * len(self.runs)
        if free < 4000:
            return "room"
        self.hold(order.expires)
        self.runs[order.run] = self.world.now
        self.started += 1
        self.world.check_twice(order.run)
        if not self.stalls:
            how = "failed" if self.fails else "done"
            self.world.at(self.world.work, lambda: self.end(order.run, how))
        return "started"

    def hold(self, expires):
        bounded = min(expires, self.clock() + LEASE)
        at = bounded + 50.0
        self.lease_until = max(self.lease_until, at)
        self.world.at(at - self.world.now + 0.001, self.lapse)

    def listing(self, token):
        return pool_messages.HoldAnswered(
            self.spec.name,
            token,
            self.spec.incarnation,
            self.clock(),
            tuple(self.runs),
            tuple(self.ended),
        )


class Node:
    """One instance."""

    def __init__(self, world, name, domain, started):
        self.world = world
        self.name = name
        self.domain = domain
        self.own = planner_election.Member(name, domain, (name, 1), started)
        self.alive = True
        self.notes = []
        token = itertools.count(started * 1000)
        made = (
            fleet.make_controller(self.own),
            gateway.make_controller(name, domain),
            planner.make_controller(name, lambda: next(token), world.now),
        )
        self.receive = {one.name: one.receive for one in made}
        for one in (pool_messages.FLEET, pool_messages.PLANNER):
            self.tell(one, messages.TimerFired("start"))
        self.tell(
            pool_messages.GATEWAY,
            pool_messages.RoutesConfigured(TABLE, b"", "store"),
        )

    def tell(self, to, msg):
        if not self.alive or self.world.frozen(self):
            if self.alive:
                self.world.at(0.1, lambda: self.tell(to, msg))
            return
        pending = [messages.Send(to, msg)]
        while pending:
            send = pending.pop(0)
            if send.to in self.receive:
                receive = self.receive[send.to]
                pending += receive(send.msg, self.world.now)
            else:
                self.world.carry(self, send)

    def events(self, event):
        return [one for one in self.notes if one.event == event]


class World:
    """Time, links, executors and instances.

    Parameters
    ----------
    domains : sequence of str
        One instance and two executors in each.
    """

    def __init__(self, domains=("a", "b", "c")):
        self.now = 100.0
        self.work = 0.2
        self.queue = []
        self.order = itertools.count()
        self.cut_members = set()
        """Pairs of domains or names that do not reach one another."""
        self.frozen_until = {}
        self.store_up = True
        self.twice = []
        self.answers = {}
        self.executors = {}
        for domain in domains:
            for index in range(2):
                name = f"x-{domain}{index}"
                self.executors[name] = FakeExecutor(self, name, domain)
        self.nodes = {}
        for index, domain in enumerate(domains):
            self.add_node(f"n-{domain}", domain, 1000 + index)
        self.relist()
        self.run(1.5)

    def relist(self):
        """Let every instance follow the listing."""
        for node in list(self.nodes.values()):
            self.list_to(node)
        self.at(LISTING_INTERVAL, self.relist)

    def add_node(self, name, domain, started):
        node = self.nodes[name] = Node(self, name, domain, started)
        found = tuple((one, 1) for one in self.nodes)
        node.tell(
            pool_messages.FLEET, pool_messages.AddressesFound(found, "seeds")
        )
        self.list_to(node)
        return node

    def list_to(self, node):
        if self.store_up:
            specs = tuple(
                one.spec for one in self.executors.values() if not one.dark
            )
            node.tell(
                pool_messages.PLANNER, pool_messages.ExecutorsListed(specs)
            )

    def at(self, delay, action):
        heapq.heappush(
            self.queue, (self.now + delay, next(self.order), action)
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def frozen(self, node):
        return self.frozen_until.get(node.name, 0.0) > self.now

    def freeze(self, node, seconds):
        self.frozen_until[node.name] = self.now + seconds

    def cut(self, left, right):
        self.cut_members.add(frozenset((left, right)))

    def heal(self):
        self.cut_members.clear()

    def reaches(self, one, other):
        pairs = itertools.product(one, other)
        return not any(
            frozenset((left, right)) in self.cut_members
            for left, right in pairs
        )

    def check_twice(self, run):
        places = [
            one.spec.name
            for one in self.executors.values()
            if any(other[:3] == run[:3] for other in one.runs)
        ]
        if len(places) > 1:
            self.twice.append((self.now, run, places))

    def submit(self, node, name, count=2, wait=5.0):
        reply = f"{name}@{node.name}"
        node.tell(
            pool_messages.GATEWAY,
            pool_messages.SubmitBatch(
                HOST, f"/jobs/{name}", "s", make_steps(count), wait, reply
            ),
        )
        return reply

    def carry(self, node, send):
        msg = send.msg
        if send.to == messages.TIMERS:
            fired = messages.TimerFired(msg.key)
            self.at(msg.at - self.now, lambda: node.tell(msg.to, fired))
        elif send.to == messages.CALLERS:
            self.answers[msg.reply_to] = msg.answer
        elif send.to == pool_messages.DECISION_LOG:
            node.notes.append(msg)
        elif send.to == pool_messages.LISTINGS:
            self.list_to(node)
        elif isinstance(msg, pool_messages.SendToMember):
            self.at(LATENCY, lambda: self._arrive(node, msg))
        elif isinstance(msg, pool_messages.SendToMembers):
            for address in msg.addresses:
                one = pool_messages.SendToMember(address, msg.msg)
                self.at(LATENCY, lambda one=one: self._arrive(node, one))
        elif send.to == pool_messages.EXECUTORS:
            self.at(LATENCY, lambda: self._order(node, msg))

    def _arrive(self, node, msg):
        target = self.nodes.get(msg.address[0])
        if target is None or not target.alive:
            if node.alive:
                failed = pool_messages.LinkFailed(msg.address, False)
                node.tell(pool_messages.FLEET, failed)
            return
        if not self.reaches(
            (node.name, node.domain), (target.name, target.domain)
        ):
            return
        inner = msg.msg
        if isinstance(inner, fleet.Heartbeat):
            heard = pool_messages.HeartbeatReceived(*inner)
            target.tell(pool_messages.FLEET, heard)
        elif isinstance(inner, pool_messages.BatchEnded):
            target.tell(pool_messages.GATEWAY, inner)
        elif not isinstance(inner, pool_messages.ConfigurationOffered):
            target.tell(pool_messages.PLANNER, inner)

    def _order(self, node, order):
        name = order.executor.name
        target = self.executors.get(name)
        reached = target is not None and not target.dark
        if reached:
            place = (name, target.spec.domain)
            reached = self.reaches((node.name, node.domain), place)
        if not reached:
            self.at(0.25, lambda: self._answer(node, _silence(order)))
            return
        if isinstance(order, pool_messages.HoldExecutor):
            self._hold(node, target, order)
            return
        answer = _obey(target, order)
        if target.lose_answers > 0:
            target.lose_answers -= 1
            self.at(0.25, lambda: self._answer(node, _silence(order)))
            return
        self.at(LATENCY, lambda: self._answer(node, answer))

    def _hold(self, node, target, order):
        if order.token < target.token:
            fenced = pool_messages.HoldFailed(
                target.spec.name, order.token, True, False, "fence"
            )
            self.at(LATENCY, lambda: self._answer(node, fenced))
            return
        target.token = order.token
        target.ended = [
            one for one in target.ended if one.number > order.acknowledged
        ]
        if order.expires is not None:
            target.hold(order.expires)
        done = []

        def answer():
            if not done:
                done.append(True)
                listing = target.listing(order.token)
                self.at(LATENCY, lambda: self._answer(node, listing))

        if target.ended or order.wait <= 0.0:
            answer()
            return
        target.waiting.append(answer)
        self.at(order.wait, answer)

    def _answer(self, node, msg):
        target = self.executors.get(msg.executor)
        if target is not None and not self.reaches(
            (node.name, node.domain), (msg.executor, target.spec.domain)
        ):
            if not isinstance(msg, pool_messages.HoldAnswered):
                node.tell(pool_messages.PLANNER, msg)
                return
            failed = pool_messages.HoldFailed(
                msg.executor, msg.token, False, False, "cut"
            )
            self.at(0.25, lambda: node.tell(pool_messages.PLANNER, failed))
            return
        node.tell(pool_messages.PLANNER, msg)


def _obey(target, order):
    name = target.spec.name
    if isinstance(order, pool_messages.StartRun):
        result = target.start(order)
        return pool_messages.StartAnswered(
            name, order.run, result, result, target.clock()
        )
    if isinstance(order, pool_messages.StopRun):
        stopped = order.token >= target.token
        if stopped:
            target.token = order.token
            key = order.run[:3]
            known = target.highest.get(key, 0)
            target.highest[key] = max(known, order.run.attempt)
            target.world.at(
                STOP_TIME, lambda: target.end(order.run, "stopped")
            )
        return pool_messages.StopAnswered(name, order.run, stopped, "")
    return pool_messages.ProbeAnswered(name, True)


def _silence(order):
    name = order.executor.name
    if isinstance(order, pool_messages.StartRun):
        return pool_messages.StartAnswered(
            name, order.run, "unknown", "timed out", None
        )
    if isinstance(order, pool_messages.StopRun):
        return pool_messages.StopAnswered(name, order.run, False, "timed out")
    if isinstance(order, pool_messages.HoldExecutor):
        return pool_messages.HoldFailed(
            name, order.token, False, False, "timed out"
        )
    return pool_messages.ProbeAnswered(name, False)
