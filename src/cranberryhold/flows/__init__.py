"""Forwards the packets of flows between callers and targets.

An entry instance sends each packet to the sidecar of a target; the sidecar delivers
it to its own target or forwards it to another sidecar. The package is independent
of the platform: packet formats, the store and the operator's documents are accessed
through protocols that are defined here.

Data classes are msgspec structs, because a daemon defines about thirty of them at
each start and a struct takes a thirtieth of the processor time of a dataclass.
"""
