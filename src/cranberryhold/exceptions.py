"""Exceptions of the package.

Each carries the step that failed and, where one is involved, the peer. The message
tells the user how to resolve the error.
"""

DECODE_ERRORS = (ValueError, RecursionError)
"""All that the decoders of :mod:`cranberryhold.documents` and of messages raise for
data that any process may have written. Text that is no UTF-8 and integers of thousands
of digits give a ``ValueError``, and deep nesting, even in a field that is not used, a
``RecursionError``. The decoders of msgspec raise these and ``MsgspecError``."""


class CranberryholdError(Exception):
    """Base class of all errors that the package raises to its callers.

    :param message: what failed and the remedy, for the user.
    :param step: the step that failed, such as ``"decode connection id"``.
    :param peer: the address or name of the other side, or an empty string.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = [f"step={self.step!r}"] if self.step else []
        where += [f"peer={self.peer}"] if self.peer else []
        return f"{self.message} ({' '.join(where)})" if where else self.message


class AddressError(CranberryholdError):
    """An address is not ``IPv4:port``."""


class KeyRingError(CranberryholdError):
    """The key ring setting is malformed, or a key id is unknown."""


class SealError(CranberryholdError):
    """A sealed message is truncated, forged, or sealed with an unknown key."""


class PacketError(CranberryholdError):
    """A packet is not a QUIC packet that can be routed."""


class SettingsError(CranberryholdError):
    """A flag or environment variable is missing or has an invalid value."""


class ManifestError(CranberryholdError):
    """A manifest was rejected; names the line and key.

    :param line: 1-based line in the manifest text, 0 if none applies.
    :param key: path of the offending key, such as ``services[0].name``.
    """

    def __init__(
        self, message: str, *, line: int = 0, key: str = "", step: str = "check"
    ) -> None:
        super().__init__(message, step=step)
        self.line = line
        self.key = key


class ConflictError(CranberryholdError):
    """Another writer changed the manifest first."""


class StoreError(CranberryholdError):
    """The platform's key-value service rejected a request or was not reached."""


class StoreOutcomeUnknownError(StoreError):
    """The response to a write was lost: it may or may not have taken effect."""


class PeerError(CranberryholdError):
    """A peer could not be reached or broke the protocol."""


class NotRunError(CranberryholdError):
    """A request was rejected and has certainly not run."""


class OutcomeUnknownError(CranberryholdError):
    """A request failed after it may have started to run."""


class KeyRequiredError(NotRunError):
    """A request requires an idempotency key and has not run without one.

    :param key: a new key, to be stored with the item and used for all attempts.
    """

    def __init__(
        self, message: str, *, key: str, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.key = key


class FeedRefusedError(CranberryholdError):
    """A feed responded with an error status that a retry won't change."""


class DeadlinePassedError(OutcomeUnknownError):
    """The deadline of a request passed after it may have started to run."""


class BodyTooLargeError(OutcomeUnknownError):
    """A body exceeded its limit after the request may have started to run."""
