"""Measurements; each module prints its figures and the command that made them."""
