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


def own_size(s: tree.Statement) -> int:
    """Nodes of a statement's own expressions, without those of its blocks. A loop pays for its condition itself."""
    match s:
        case tree.Let(_, _, value) | tree.For(_, _, value, _) | tree.Expect(_, value) | tree.Do(_, value):
            return size(value)
        case tree.Assign(_, _, path, value):
            return size(value) + sum(size(key) for key in path if not isinstance(key, str))
        case tree.Branch(_, ways, _):
            return sum(size(condition) for condition, _ in ways)
        case tree.Match(_, value, arms):
            return size(value) + sum(size(arm.guard) for arm in arms if arm.guard)
        case tree.Return(_, value):
            return size(value) if value else 0
    return 0
