"""Experiments: plays simulated days with call servers and judges them, and benchmarks the parts."""
