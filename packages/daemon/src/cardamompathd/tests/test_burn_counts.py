from cardamompathd import messages
from cardamompathd.tests import test_backends

NOT_CONNECTED = test_backends.NOT_RUN._replace(phase="connect")


class BurnCountsTest(test_backends.BackendsCase):
    def setUp(self):
        super().setUp()
        self.configure(*test_backends.make_backends(1))

    def first_message(self):
        return self.sends[0].msg

    def test_settled_task_has_its_ideal_time_and_wasted_attempts(self):
        self.submit()
        for answer in (test_backends.NOT_RUN, NOT_CONNECTED):
            self.end([*self.running][0], answer)
            self.now += 60.0
            self.send(messages.TimerFired("tick"))
        self.end([*self.running][0], elapsed=0.3)
        self.assertEqual(1, self.first_message().wasted_attempts)
        self.assertAlmostEqual(0.3, self.first_message().ideal_time)

    def test_failed_task_has_no_ideal_time(self):
        self.submit()
        self.end([*self.running][0], test_backends.FAILED)
        self.assertEqual(
            (0.0, 0),
            (
                self.first_message().ideal_time,
                self.first_message().wasted_attempts,
            ),
        )

    def test_wasted_attempts_count_once_after_a_withdrawal(self):
        job_id = self.submit(9)
        refs = [*self.running]
        self.end(refs[0], test_backends.NOT_RUN)
        self.send(messages.Withdraw(job_id))
        before = self.first_message().wasted_attempts
        self.end(refs[1], test_backends.NOT_RUN)
        self.assertEqual(
            (1, 1), (before, self.first_message().wasted_attempts)
        )
