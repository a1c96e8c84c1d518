"""Lays a hook file out: two spaces a block, no space at line ends, one empty line at most. Comments stay in place.
Only spaces between lines change, never within them. Pure."""


def depth_change(line: str) -> tuple[int, int]:
    """How many brackets a line closes before it opens any, and by how much it changes the depth in all."""
    depth = lowest = 0
    in_text = skip = False
    for char in line:
        if skip:
            skip = False
        elif in_text:
            skip = char == "\\"
            in_text = char != '"'
        elif char == '"':
            in_text = True
        elif char == "#":
            break
        elif char in "{[(":
            depth += 1
        elif char in "}])":
            depth -= 1
            lowest = min(lowest, depth)
    return -lowest, depth


def format_source(text: str) -> str:
    """The text laid out; laid out again it is the same."""
    out: list[str] = []
    depth = 0
    for raw in text.splitlines():
        line = raw.strip()
        if not line:
            if out and out[-1]:
                out.append("")
            continue
        closes, change = depth_change(line)
        out.append("  " * max(0, depth - closes) + line)
        depth = max(0, depth + change)
    while out and not out[-1]:
        out.pop()
    return "\n".join(out) + "\n" if out else ""
