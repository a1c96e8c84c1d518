"""Fault injection trials: real call server processes on loopback, with clients, endpoints and discovery replaced by
stand-ins that fail according to a seeded plan."""
