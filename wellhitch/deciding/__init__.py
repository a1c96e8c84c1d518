"""Runs the decision module for a server: one event at a time, with timers and an answer after an error."""
