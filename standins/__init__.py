"""Stand-ins for the platform, targets and callers, used by the demo, tests and benchmarks."""
