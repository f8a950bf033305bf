"""Intake: how much input of one connection is decoded before the others have a turn.

`quanta` decides, without input or output, how large the next slice of a connection is and how long
it is held back. `scheduler` gives turns to the connections with waiting input, `gate` stands
between a transport and its protocol and passes the slices on. `docs/design/intake.md` describes
the bounds.
"""
