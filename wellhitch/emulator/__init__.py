"""Virtual time: the same server code on a simulated loop and network, the same on every run."""
