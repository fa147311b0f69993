"""Merging the sets of evacuated failure domains."""

import functools
import itertools
import unittest

from cardamompath_core import evacuation


class EvacuationTest(unittest.TestCase):
    def test_order_of_arrival_does_not_matter(self):
        # A late offer took a reader back to a set that was replaced.
        sets = (
            evacuation.make(3, ["a"]),
            evacuation.make(7, ["b"]),
            evacuation.make(7, ["c"]),
        )
        for first, expected in (
            (evacuation.UNKNOWN, evacuation.make(7, ["b", "c"])),
            (evacuation.OFF, evacuation.OFF),
        ):
            for order in itertools.permutations(sets):
                result = functools.reduce(evacuation.merge, order, first)
                self.assertEqual(result, expected)

    def test_offer_goes_to_those_with_an_earlier_and_different_set(self):
        known = evacuation.make(7, ["a"])
        for other, expected in (
            (evacuation.OFF, False),
            (evacuation.UNKNOWN, True),
            (evacuation.make(6, []), True),
            (evacuation.make(7, ["b"]), True),
            (evacuation.make(6, ["a"]), False),
            (evacuation.make(8, []), False),
        ):
            digest = evacuation.digest_of(other)
            is_behind = evacuation.is_behind(other.offset, digest, known)
            with self.subTest(other=other):
                self.assertEqual(is_behind, expected)
