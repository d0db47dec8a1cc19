"""Errors of decoders for data that any process may have written."""

from msgspec import MsgspecError

DECODE_ERRORS = (MsgspecError, ValueError, RecursionError)
"""All that msgspec's decoders raise. Text that is no UTF-8 and integers of thousands
of digits give a ``ValueError``, and deep nesting, even in a field that is not used, a
``RecursionError``."""
