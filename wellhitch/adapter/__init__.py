"""Connects the decision module to the simulator's wire protocol."""
