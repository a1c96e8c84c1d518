"""Pattern matching for `match` statements."""

from wellhitch.hooks import tree
from wellhitch.hooks import values as v
from wellhitch.hooks.values import Budget, Value


def matches(pattern: tree.Pattern, value: Value, budget: Budget) -> bool:
    """Whether a value matches a pattern."""
    match pattern:
        case tree.LiteralPattern(_, wanted):
            return v.equal(value, wanted, budget)
        case tree.RangePattern(_, low, high):
            return v.in_range(value, low, high)
        case tree.PrefixPattern(_, prefix):
            return isinstance(value, str) and value.startswith(prefix)
    return True
