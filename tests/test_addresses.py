"""Address parsing: a malformed address is rejected with a remedy, never guessed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryhold.addresses import Address
from cranberryhold.exceptions import AddressError


@given(st.ip_addresses(v=4), st.integers(0, 65535))
def test_packed_address_round_trips(ip: object, port: int) -> None:
    address = Address(str(ip), port)
    assert Address.unpack(address.pack()) == address
    assert Address.parse(str(address)) == address


@pytest.mark.parametrize(
    "text", ["", "127.0.0.1", "127.0.0.1:", ":1", "1.2.3:4", "1.2.3.4:70000", "a:b"]
)
def test_malformed_address_is_rejected_with_a_remedy(text: str) -> None:
    with pytest.raises(AddressError, match="write an IPv4 address and a port"):
        Address.parse(text)
