"""Settings and strategies of hypothesis that the property tests share.

The settings make every run draw the same examples.
"""

import hypothesis
from hypothesis import strategies

deterministic = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=12),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)
