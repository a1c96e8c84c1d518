"""Static costs of a program: the number of nodes of an expression, and the depth of the nodes of a block."""

from wellhitch.hooks import tree


def children(node: tree.Node) -> list[tree.Node]:
    """The direct children of a node."""
    nodes: list[tree.Node] = []
    for name in node.__dataclass_fields__:
        _collect_nodes(getattr(node, name), nodes)
    return nodes


def _collect_nodes(value: object, nodes: list[tree.Node]) -> None:
    if isinstance(value, tree.Node):
        nodes.append(value)
    elif isinstance(value, tuple):
        for item in value:
            _collect_nodes(item, nodes)


def node_count(expr: tree.Node) -> int:
    """The number of nodes of an expression. This is its cost in steps, spent before it is evaluated, including the
    parts that `and` and `or` then skip."""
    return 1 + sum(node_count(child) for child in children(expr))


def node_depth(node: tree.Node) -> int:
    """The height of the tree under a node: what a call takes from the depth budget."""
    return 1 + max((node_depth(child) for child in children(node)), default=0)


def statement_cost(statement: tree.Statement) -> int:
    """The number of nodes in the expressions of a statement, without those of its blocks. A `while` loop spends the
    cost of its condition at each iteration instead."""
    match statement:
        case (
            tree.Let(_, _, value)
            | tree.For(_, _, value, _)
            | tree.Expect(_, value)
            | tree.ExpressionStatement(_, value)
        ):
            return node_count(value)
        case tree.Assign(_, _, path, value):
            return node_count(value) + sum(node_count(key) for key in path if not isinstance(key, str))
        case tree.If(_, branches, _):
            return sum(node_count(condition) for condition, _ in branches)
        case tree.Match(_, value, arms):
            return node_count(value) + sum(node_count(arm.guard) for arm in arms if arm.guard)
        case tree.Return(_, value):
            return node_count(value) if value else 0
    return 0
