"""Options of the commands; a flag takes precedence over an environment variable."""

import argparse
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from cranberryhold.exceptions import CranberryholdError, SettingsError

VARIABLE_PREFIX = "CRANBERRYHOLD_"
_TRUE = {"1": True, "true": True, "yes": True}
_FALSE = {"0": False, "false": False, "no": False, "": False}


def as_text(text: str) -> str:
    """Return the text unchanged."""
    return text


def as_boolean(text: str) -> bool:
    """Parse a boolean."""
    try:
        return (_TRUE | _FALSE)[text.lower()]
    except KeyError:
        raise ValueError("write 1 or 0") from None


@dataclass(frozen=True, slots=True)
class Option:
    """An option that is set by a flag or by an environment variable.

    :param name: name of the flag, without the leading dashes.
    :param help: description of the value, with its unit; also shown in the error if a
        required value is missing.
    :param convert: parses the text; raises ValueError or a CranberryholdError whose
        message is the remedy.
    :param default: text to parse if neither the flag nor the variable is given.
    :param required: whether the flag or the variable must be given.
    :param metavar: placeholder of the value in the help.
    :param secret: whether to keep the value out of error messages.
    """

    name: str
    help: str
    convert: Callable[[str], object] = as_text
    default: str | None = None
    required: bool = False
    metavar: str = "TEXT"
    secret: bool = False

    @property
    def flag(self) -> str:
        """Name of the flag, with the leading dashes."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return VARIABLE_PREFIX + self.key.upper()

    @property
    def key(self) -> str:
        """Key of the value among the settings."""
        return self.name.replace("-", "_")

    def read(self, flag_value: str | None, environment: Mapping[str, str]) -> object:
        """Return the value of the flag, the variable or the default, in this order.

        :raises SettingsError: naming the source, the value and the remedy.
        """
        source, text = self.flag, flag_value
        if text is None:
            source, text = self.variable, environment.get(self.variable)
        if text is None:
            if self.required:
                raise SettingsError(
                    f"{self.flag} is not set: give it or set {self.variable} to "
                    f"{self.help}",
                    step="read settings",
                )
            text = self.default
        return None if text is None else self._convert(source, text)

    def _convert(self, source: str, text: str) -> object:
        try:
            return self.convert(text)
        except CranberryholdError as error:
            remedy = error.message
        except ValueError as error:
            remedy = str(error)
        shown = "a hidden value" if self.secret else f"the value {text!r}"
        raise SettingsError(f"{source} has {shown}: {remedy}", step="read settings")


def add_options(parser: argparse.ArgumentParser, options: Iterable[Option]) -> None:
    """Add the flags of options to a command's parser."""
    for option in options:
        notes = f"environment variable {option.variable}"
        if option.required:
            notes = f"required; {notes}"
        elif option.default:
            notes = f"default {option.default}; {notes}"
        parser.add_argument(
            option.flag,
            dest=option.key,
            metavar=None if option.convert is as_boolean else option.metavar,
            action="store_const" if option.convert is as_boolean else "store",
            help=f"{option.help} ({notes})".replace("%", "%%"),
            **({"const": "1"} if option.convert is as_boolean else {}),
        )


def read_options(
    arguments: Mapping[str, str | None],
    environment: Mapping[str, str],
    options: Iterable[Option],
) -> dict[str, object]:
    """Return the values of options by key.

    :raises SettingsError: for the first value that is missing or invalid.
    """
    return {
        option.key: option.read(arguments[option.key], environment)
        for option in options
    }
