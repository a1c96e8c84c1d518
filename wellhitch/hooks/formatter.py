"""Formats a hook file: two spaces of indentation per block, no trailing spaces, at most one empty line in a row.
Comments stay in place. Only indentation and empty lines change, never the text within a line."""


def bracket_depth_change(line: str) -> tuple[int, int]:
    """How many of the brackets opened on earlier lines a line closes, and its net change of the bracket depth."""
    depth = lowest = 0
    in_text = escaped = False
    for char in line:
        if escaped:
            escaped = False
        elif in_text:
            escaped = char == "\\"
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
    """The formatted text. Formatting is idempotent."""
    lines: list[str] = []
    depth = 0
    for raw in text.splitlines():
        line = raw.strip()
        if not line:
            if lines and lines[-1]:
                lines.append("")
            continue
        closes, change = bracket_depth_change(line)
        lines.append("  " * max(0, depth - closes) + line)
        depth = max(0, depth + change)
    while lines and not lines[-1]:
        lines.pop()
    return "\n".join(lines) + "\n" if lines else ""
