"""Benchmarks and the chaos run, a fault injection test; each is a module run with ``python -m``."""
