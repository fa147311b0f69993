import unittest

from cardamompathd import filters
from cardamompathd.filters import chain


class RelayFilterTest(unittest.TestCase):
    def request(self, local_status, relayed):
        owner = chain.JobOwner("pocitos.entry-1.0123456789ab.1")
        local = chain.Response(local_status, {"outcome": "x"}, owner=owner)
        relay = filters.relay.make_filter(lambda req, owner: relayed)
        return relay(None, lambda req: local)

    def test_pending_answer_has_a_retry_after(self):
        response = self.request(202, None)
        self.assertEqual(1.0, response.body["retry_after"])
        self.assertIn(("Retry-After", "1"), response.headers)

    def test_settled_answer_is_unchanged(self):
        self.assertEqual({"outcome": "x"}, self.request(502, None).body)

    def test_answer_of_the_owner_replaces_the_local_one(self):
        relayed = chain.Response(200, {"outcome": "complete"})
        self.assertIs(relayed, self.request(202, relayed))
