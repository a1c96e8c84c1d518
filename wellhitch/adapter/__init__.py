"""Feeds the decisions from the simulator's wire and writes back what they ask for."""
