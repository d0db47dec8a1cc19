"""Forwarding of the packets of flows between callers and targets.

An entry instance sends each packet to the sidecar of a target; the sidecar hands it
to the target beside it, or passes it on. Nothing here knows the platform: packet
formats, the store and the operator's documents are reached through the protocols
that this package defines.

Data classes are msgspec structs: a daemon defines some thirty of them at each start,
and a struct takes a thirtieth of the processor time of a dataclass.
"""
