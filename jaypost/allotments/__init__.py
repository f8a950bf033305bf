"""Allotments: one rate limit of a workspace for all hosts together.

One node, the divider, leases shares of each limit to the hosts where the requests arrive. `shares`
divides and `buckets` uses the shares, both without input or output; `divider` is the task of the
node that divides, and `holder` that of every host. `docs/design/allotments.md` describes how they
work together.
"""
