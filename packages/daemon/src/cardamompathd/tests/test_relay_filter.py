import unittest

from cardamompathd import filters
from cardamompathd.filters import chain


class RelayFilterTest(unittest.TestCase):
    def ask(self, status, relayed):
        owner = chain.Owner("pocitos.entry-1.0123456789ab.1")
        local = chain.Response(status, {"outcome": "x"}, owner=owner)
        relay = filters.relay.make_filter(lambda req, owner: relayed)
        return relay(None, lambda req: local)

    def test_pending_says_when_to_ask_again(self):
        response = self.ask(202, None)
        self.assertEqual(1.0, response.body["retry_after"])
        self.assertIn(("Retry-After", "1"), response.headers)

    def test_settled_answer_is_left_as_it_is(self):
        self.assertEqual({"outcome": "x"}, self.ask(502, None).body)

    def test_answer_of_the_owner_goes_first(self):
        own = chain.Response(200, {"outcome": "complete"})
        self.assertIs(own, self.ask(202, own))
