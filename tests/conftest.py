"""Shared fixtures and settings.

Property tests are derandomized, so that every run gives the same result.
"""

import pytest
from hypothesis import settings

from emulator.certificates import CertificateFiles, write_certificate
from tests.sockets import LOOPBACK_IP

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fixed")


@pytest.fixture(scope="session")
def files(tmp_path_factory) -> CertificateFiles:
    """Return the certificate and key of a service on loopback."""
    names = ("localhost", "127.0.0.1", LOOPBACK_IP)
    return write_certificate(tmp_path_factory.mktemp("certificate"), names)


@pytest.fixture(scope="session")
def certificate(files: CertificateFiles) -> tuple[str, str]:
    """Return the paths of the certificate and of its key."""
    return str(files.certificate), str(files.private_key)
