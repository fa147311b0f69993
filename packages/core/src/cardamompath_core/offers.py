"""Offers of a batch to one planner after another, while nothing has started.

Addresses loads in which a planner rejects a batch that another one has
capacity for.  Each offer of an origin has a number that grows, and a planner
rejects offers by their number.  A message may arrive late or twice; what it
says of an earlier offer must not count for a later one to the same planner.
"""

from __future__ import annotations

__all__ = [
    "concerns_offer",
    "is_rejected",
    "is_revoked",
    "may_offer",
]


def is_revoked(number: int, last_revoked: int) -> bool:
    """Return whether a planner ignores an offer, as its origin revoked it."""
    return number <= last_revoked


def is_rejected(number: int, last_rejected: int) -> bool:
    """Return whether a planner has rejected an offer before.

    It then repeats the rejection, whatever capacity it has by now: the origin
    may have offered the batch to others since.
    """
    return number <= last_rejected


def concerns_offer(number: int, present: int) -> bool:
    """Return whether a rejection concerns the present offer of its origin.

    Parameters
    ----------
    number : int
        The offer that the rejection names; 0 if it names none.  A planner
        that names none is offered a batch only once.
    present : int
        Number of the present offer.
    """
    return number in (0, present)


def may_offer(planners_left: int) -> bool:
    """Return whether a rejected batch may be offered as one that never ran.

    Parameters
    ----------
    planners_left : int
        Number of planners that were given up without their word that nothing
        of the batch has started.
    """
    return planners_left == 0
