"""Stand-ins for the platform, targets and callers, used by the demo, the tests and the bench."""
