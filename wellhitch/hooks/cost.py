"""What a program costs, by its text alone: nodes of an expression, and how deep a block's nodes lie."""

from wellhitch.hooks import tree


def children(node: tree.Node) -> list[tree.Node]:
    """The nodes right under one."""
    out: list[tree.Node] = []
    for name in node.__dataclass_fields__:
        _gather(getattr(node, name), out)
    return out


def _gather(value: object, out: list[tree.Node]) -> None:
    if isinstance(value, tree.Node):
        out.append(value)
    elif isinstance(value, tuple):
        for one in value:
            _gather(one, out)


def size(expr: tree.Node) -> int:
    """Nodes of an expression: its cost in steps, paid before it is looked at, whatever is skipped of it."""
    return 1 + sum(size(one) for one in children(expr))


def weight(node: tree.Node) -> int:
    """How deep the nodes under one lie: what a call adds to the depth."""
    return 1 + max((weight(one) for one in children(node)), default=0)
