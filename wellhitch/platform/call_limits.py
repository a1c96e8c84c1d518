"""How many established calls are accepted. Pure.

Each call is kept until it ends, and a client may set up calls that nobody ever ends. Above `MAX_CALLS` only callers
with a small part of all calls may set up more, so that the others are served on when one client has used them up.
"""

# More than one exchange ever has.
MAX_CALLS = 8192
# Including those of callers with a small part; they take some 50 MB.
MAX_CALLS_IN_ALL = 2 * MAX_CALLS


def may_add_call(calls: int, calls_on_connection: int, connections: int) -> bool:
    """Whether a caller may set up another call, whose connection has `calls_on_connection` of all `calls`, one of
    `connections` that callers use."""
    if calls < MAX_CALLS:
        return True
    has_small_part = 2 * calls_on_connection * connections < calls
    return has_small_part and calls < MAX_CALLS_IN_ALL
