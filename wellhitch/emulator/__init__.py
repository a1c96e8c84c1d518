"""Runs the server code in virtual time on a simulated loop, network and disk, deterministically."""
