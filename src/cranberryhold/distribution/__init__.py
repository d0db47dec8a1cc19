"""The manifest in force: reading it from the store and distributing it to all members.

A process adopts only a higher generation, and validates it again. Readers hold a
watch on the store; the others learn of a new generation by gossip and get the changed
services from the datagram or from the member that announced it.
"""

from cranberryhold.distribution.distributor import ManifestDistributor
from cranberryhold.distribution.reader import ManifestReader
from cranberryhold.distribution.state import ManifestState
from cranberryhold.distribution.status_query import query_status

__all__ = [
    "ManifestDistributor",
    "ManifestReader",
    "ManifestState",
    "query_status",
]
