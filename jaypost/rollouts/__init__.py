"""Roll-outs: moving the requests of a service to targets of a new version.

`evidence` and `decisions` decide without input or output, `routing` applies a step to the targets
of a node, `guard` holds what a node knows, and `coordinator` is the task of the node that decides.
`docs/design/rollouts.md` describes how they work together.
"""
