"""All exceptions of the package.

Each carries the step that failed and, where one is involved, the peer. The
message tells the user what to do about it.
"""


class CranberryholdError(Exception):
    """Base class of all errors that cross the package's border.

    :param message: what failed and the remedy, for a person.
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
    """A flag or environment variable has an unusable value."""


class ManifestError(CranberryholdError):
    """A manifest is refused; names the line and key.

    :param line: 1-based line in the manifest text, 0 where none applies.
    :param key: dotted path of the offending key.
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
    """The platform's key-value service refused or could not be reached."""


class StoreOutcomeUnknownError(StoreError):
    """The answer to a write was lost: it may or may not have taken effect."""


class PeerError(CranberryholdError):
    """A peer could not be reached or broke the protocol."""


class NotRunError(CranberryholdError):
    """A request was refused and has certainly not run."""


class OutcomeUnknownError(CranberryholdError):
    """A request was lost after it may have started to run."""


class KeyRequiredError(NotRunError):
    """A request needs an idempotency key and did not run without one.

    :param key: a fresh key to store with the item and to use for all attempts.
    """

    def __init__(
        self, message: str, *, key: str, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.key = key


class FeedRefusedError(CranberryholdError):
    """A feed answered with an error status, which trying again won't change."""


class DeadlinePassedError(OutcomeUnknownError):
    """The deadline of a request passed after it may have started to run."""


class BodyTooLargeError(OutcomeUnknownError):
    """A body exceeded its limit after the request may have started to run."""
