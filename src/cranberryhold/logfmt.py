"""Formats log fields in logfmt: ``key=value key=value``."""

# What the json module calls. Importing it as a whole takes as long as starting the
# interpreter.
from _json import encode_basestring, encode_basestring_ascii

_CONSTANTS = {None: "null", True: "true", False: "false"}


def format_logfmt(fields: dict[str, object]) -> str:
    """Return the fields as ``key=value key=value``."""
    return " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())


def _quoted(value: object) -> str:
    if value is None or isinstance(value, bool):
        return _CONSTANTS[value]
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in " \"'=\\"):
        return text
    return (
        encode_basestring(text) if text.isprintable() else encode_basestring_ascii(text)
    )
