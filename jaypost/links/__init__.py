"""Links of hosts: bodies of requests are sent to a host only as fast as its link takes them.

`grants` decides without input or output; the egress asks it before it lets the sender of a request
send the body. `docs/design/links.md` describes how the nodes work together.
"""
