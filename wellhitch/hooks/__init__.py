"""Hooks: a small script language for staff, run by the call server under a budget. What a hook returns enters the
decisions as facts of the event; a hook never picks a route, a dial or a time-out."""
