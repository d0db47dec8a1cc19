"""A layer-4 load balancer for QUIC services, as a library with thin daemons."""

from cranberryhold.addresses import Address
from cranberryhold.exceptions import CranberryholdError

__all__ = ["Address", "CranberryholdError"]
