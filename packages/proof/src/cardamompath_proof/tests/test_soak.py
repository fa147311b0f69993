"""What the soak checks, on records made by hand."""

import types
import unittest

from cardamompath_proof.soak import broken
from cardamompath_proof.soak import checks
from cardamompath_proof.soak import clients
from cardamompath_proof.soak import faults


def make_send(job="j", tasks=1, began=10.0, ended=10.5, status=200, **fields):
    state = "complete" if status == 200 else ""
    one = clients.Send(job, tasks, "i00", began, ended, status, state, "")
    return one._replace(**fields)


def make_run(
    task="j.0.0.0", executor="x0", began=10.1, ended=10.3, how="done"
):
    return checks.Run(task, 1, executor, began, ended, how)


def make_rig(disturbed=(), frozen=(), terminated=(), published=()):
    instance = types.SimpleNamespace(
        name="i00", disturbed=list(disturbed), frozen=list(frozen)
    )
    return types.SimpleNamespace(
        instances=[instance],
        terminated={"i00": list(terminated)},
        published=list(published),
    )


class CheckTest(unittest.TestCase):
    def assert_broken(self, found, count=1):
        self.assertEqual(len(found), count, found)

    def test_sound_records_pass(self):
        rig = make_rig(published=[(1.0, 1, ("r0",))])
        look = clients.Look("r0", "i00", 10.0, 10.1, 200)
        found = checks.check_all([make_send()], [look], [make_run()], rig)
        self.assertEqual(found, [])

    def test_two_runs_at_once(self):
        runs = [make_run(), make_run(executor="x1", began=10.2, ended=10.4)]
        self.assert_broken(checks.check_single_runs(runs))
        later = [make_run(), make_run(executor="x1", began=10.3, ended=10.4)]
        self.assert_broken(checks.check_single_runs(later), 0)

    def test_runs_of_what_nobody_asked(self):
        runs = [make_run("other.0.0.0"), make_run("j.0.0.1")]
        self.assert_broken(checks.check_asked([make_send()], runs), 2)

    def test_complete_without_all_ends(self):
        one = make_send(tasks=2)
        self.assert_broken(checks.check_answers([one], [make_run()]))
        late = make_run(ended=11.0)
        self.assert_broken(checks.check_answers([make_send()], [late]))

    def test_refused_but_started(self):
        refused = make_send(status=503)
        self.assert_broken(checks.check_refusals([refused], [make_run()]))
        # The second try ran.
        both = [refused, make_send()]
        self.assert_broken(checks.check_refusals(both, [make_run()]), 0)

    def test_late_answer_unless_the_instance_was_frozen(self):
        one = make_send(ended=15.0)
        self.assert_broken(checks.check_limits([one], make_rig()))
        rig = make_rig(frozen=[(12.0, 14.5)])
        self.assert_broken(checks.check_limits([one], rig), 0)

    def test_cut_off_by_a_shutdown(self):
        one = make_send(status=0)
        rig = make_rig(terminated=[(10.2, 0.0)])
        self.assert_broken(checks.check_shutdown([one], rig))
        disturbed = make_rig(terminated=[(10.2, 10.1)])
        self.assert_broken(checks.check_shutdown([one], disturbed), 0)
        own = [(10.2, 17.0)]
        rig = make_rig(own, terminated=[(10.2, 0.0)])
        self.assert_broken(checks.check_shutdown([one], rig))
        killed = make_rig([*own, (10.4, 11.0)], terminated=[(10.2, 0.0)])
        self.assert_broken(checks.check_shutdown([one], killed), 0)

    def test_route_of_an_old_version(self):
        published = [(1.0, 1, ("r0",)), (10.0, 2, ("r1",))]
        rig = make_rig(published=published)
        cases = (
            (clients.Look("r0", "i00", 11.0, 11.1, 200), 0),
            (clients.Look("r0", "i00", 12.1, 12.2, 200), 1),
            (clients.Look("r1", "i00", 11.0, 11.1, 404), 0),
            (clients.Look("r1", "i00", 12.1, 12.2, 404), 1),
            (clients.Look("r1", "i00", 9.0, 9.1, 200), 1),
        )
        for look, count in cases:
            with self.subTest(look=look):
                self.assert_broken(checks.check_routes([look], rig), count)

    def test_disturbed_instance_may_be_behind(self):
        published = [(1.0, 1, ("r0",)), (10.0, 2, ("r1",))]
        rig = make_rig(disturbed=[(9.0, 11.0)], published=published)
        look = clients.Look("r0", "i00", 12.1, 12.2, 200)
        self.assert_broken(checks.check_routes([look], rig), 0)


class FaultTest(unittest.TestCase):
    def test_same_seed_draws_the_same_faults(self):
        first = faults.draw(7, 14, 20.0)
        self.assertEqual(first, faults.draw(7, 14, 20.0))
        self.assertNotEqual(first, faults.draw(8, 14, 20.0))

    def test_every_kind_is_drawn_in_fifty_seeds(self):
        drawn = {
            one.kind
            for seed in range(1, 51)
            for one in faults.draw(seed, 14, 20.0)
        }
        self.assertEqual(drawn, set(faults.KINDS))

    def test_kinds_can_be_chosen(self):
        drawn = faults.draw(1, 9, 20.0, ["publish"])
        self.assertEqual({one.kind for one in drawn}, {"publish"})

    def test_each_promise_has_an_instance_that_breaks_it(self):
        self.assertEqual(len(broken.VARIANTS), 5)
