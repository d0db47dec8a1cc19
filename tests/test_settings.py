"""Settings: precedence of flag, variable and default, and errors with a remedy.

Guards against invalid values that are accepted as something else, and against secrets
in error messages.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.exceptions import SettingsError
from cranberryhold.options import Option
from cranberryhold.settings import (
    ENTRY_OPTIONS,
    NODE_OPTIONS,
    SIDECAR_OPTIONS,
    as_count,
    as_seconds,
    entry_settings,
)
from tests.environments import ENTRY

TEXTS = st.none() | st.text(max_size=5)


@given(TEXTS, TEXTS, TEXTS)
def test_flag_precedes_variable_and_variable_precedes_default(
    flag: str | None, variable: str | None, default: str | None
) -> None:
    option = Option("some-limit", "a limit", default=default)
    environment = {} if variable is None else {"CRANBERRYHOLD_SOME_LIMIT": variable}
    expected = next((t for t in (flag, variable, default) if t is not None), None)
    assert option.read(flag, environment) == expected


def read_entry(**changes: str):
    environment = ENTRY | changes
    return entry_settings({o.key: o.read(None, environment) for o in ENTRY_OPTIONS})


def test_entry_settings_come_from_the_environment() -> None:
    settings = read_entry(
        CRANBERRYHOLD_CONTACTS="127.0.0.1:7100, 127.0.0.2:7100",
        CRANBERRYHOLD_LISTEN_ADDRESS="127.0.0.9",
    )
    assert settings.node.node_id == "entry-1"
    assert settings.node.control_address == Address("127.0.0.1", 7000)
    assert settings.node.contacts == (
        Address("127.0.0.1", 7100),
        Address("127.0.0.2", 7100),
    )
    assert settings.node.statsd is None
    assert settings.node.store_url == ""
    assert settings.node.log_level == "INFO"
    assert settings.forward_address == Address("127.0.0.1", 7001)
    assert settings.listen_ip == "127.0.0.9"


@pytest.mark.parametrize(
    ("name", "value", "remedy"),
    [
        ("NODE_ID", "a b", "write 1 to 63 letters"),
        ("CONTROL_ADDRESS", "localhost:1", "write an IPv4 address and a port"),
        ("CONTROL_ADDRESS", "0.0.0.0:1", "name one IPv4 number"),
        ("FORWARD_ADDRESS", "127.0.0.1:0", "write a port from 1 to 65535"),
        ("CONTACTS", "127.0.0.1", "write an IPv4 address and a port"),
        ("STORE_URL", "127.0.0.1:8500", "write a URL such as"),
        ("LISTEN_ADDRESS", "::1", "is not an address"),
        ("LOG_LEVEL", "loud", "write one of DEBUG"),
        ("STATSD", "host", "write an IPv4 address and a port"),
    ],
)
def test_error_of_an_invalid_value_names_variable_value_and_remedy(
    name: str, value: str, remedy: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        read_entry(**{f"CRANBERRYHOLD_{name}": value})
    assert f"CRANBERRYHOLD_{name} has the value {value!r}" in caught.value.message
    assert remedy in caught.value.message


def test_error_of_an_invalid_key_ring_hides_the_secret() -> None:
    secret = "ab" * 31
    with pytest.raises(SettingsError) as caught:
        read_entry(CRANBERRYHOLD_KEYS=f"1:{secret}")
    assert secret not in str(caught.value)
    assert "CRANBERRYHOLD_KEYS has a hidden value: entry 1" in caught.value.message


def test_missing_file_is_an_error() -> None:
    option = next(o for o in SIDECAR_OPTIONS if o.key == "certificate")
    with pytest.raises(SettingsError, match="--certificate has the value '/no/such'"):
        option.read("/no/such", {})


@pytest.mark.parametrize("option", [o for o in NODE_OPTIONS if o.required])
def test_error_of_a_missing_setting_names_flag_and_variable(option: Option) -> None:
    with pytest.raises(SettingsError) as caught:
        option.read(None, {})
    assert option.flag in caught.value.message
    assert option.variable in caught.value.message


@pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "x", ""])
def test_seconds_must_be_positive_and_finite(text: str) -> None:
    with pytest.raises(ValueError, match="above 0"):
        as_seconds(text)


@pytest.mark.parametrize("text", ["-1", "1.5", "x", ""])
def test_counts_must_be_whole_numbers(text: str) -> None:
    with pytest.raises(ValueError, match="whole number"):
        as_count(text)
