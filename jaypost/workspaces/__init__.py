"""Workspaces: whose requests these are, by the key that a request carries.

`keys` identifies a request, `rows` keeps workspaces in the table, and `commands` are those of the
operator. `docs/design/workspaces.md` describes how they work together.
"""
