"""Mapping of errors to the exit codes of the commands."""

from enum import IntEnum

from cranberryhold.exceptions import (
    AddressError,
    ConflictError,
    CranberryholdError,
    KeyRingError,
    NotRunError,
    OutcomeUnknownError,
    PeerError,
    SettingsError,
    StoreError,
    StoreOutcomeUnknownError,
)


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_REACHED = 4
    NOT_RUN = 5
    OUTCOME_UNKNOWN = 6


_EXIT_CODE_BY_ERROR: tuple[tuple[type[CranberryholdError], ExitCode], ...] = (
    (SettingsError, ExitCode.USAGE),
    (AddressError, ExitCode.USAGE),
    (KeyRingError, ExitCode.USAGE),
    (ConflictError, ExitCode.CONFLICT),
    (StoreOutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (OutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (NotRunError, ExitCode.NOT_RUN),
    (StoreError, ExitCode.NOT_REACHED),
    (PeerError, ExitCode.NOT_REACHED),
)

EXIT_CODES_HELP = (
    "exit codes: 0 done, 1 failed, 2 usage error, 3 conflict with another writer, "
    "4 store or peer not reached, 5 refused and not run, 6 outcome unknown"
)


def exit_code(error: CranberryholdError) -> ExitCode:
    """Return the exit code of a command that ended with this error."""
    return next(
        (c for kind, c in _EXIT_CODE_BY_ERROR if isinstance(error, kind)),
        ExitCode.FAILED,
    )
