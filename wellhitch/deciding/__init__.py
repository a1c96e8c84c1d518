"""Runs the decisions for whichever server holds them: one event at a time, timers, rescue after one raises."""
