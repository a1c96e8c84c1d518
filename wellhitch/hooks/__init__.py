"""Hooks: a small language for staff, run by the call server under a budget. What a hook says enters the decisions as
facts of the event; it never picks a route, a dial or a time-out."""
