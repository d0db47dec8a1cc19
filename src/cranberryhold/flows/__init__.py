"""Forwards the packets of flows between callers and targets.

An entry instance sends each packet to the sidecar of a target; the sidecar delivers
it to its own target or forwards it to another sidecar. The package is independent
of the platform: packet formats, the store and the operator's documents are accessed
through protocols that are defined here.

A daemon that starts must forward its first packet soon. Modules that are imported
before it avoid the slow modules of the standard library: annotations that need
``typing`` or ``collections.abc`` are evaluated by type checkers only, ``_socket`` and
``_blake2`` stand for ``socket`` and ``hashlib``, which import them, and
:mod:`cranberryhold.structs`, :mod:`cranberryhold.choices` and
:mod:`cranberryhold.documents` for msgspec, ``enum`` and ``json``.
"""
