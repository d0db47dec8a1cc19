"""Self-signed certificates for the demo and the tests."""

import datetime
import ipaddress
from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

_VALIDITY = datetime.timedelta(days=30)


class CertificateFiles(NamedTuple):
    """Paths of the PEM files of a certificate and of its private key."""

    certificate: Path
    private_key: Path


def write_certificate(
    directory: Path, names: tuple[str, ...] = ("localhost", "127.0.0.1")
) -> CertificateFiles:
    """Write a new self-signed certificate and its key into a directory.

    The certificate is its own issuer: a caller that is given the file as ``ca_file``
    trusts it.

    :param names: DNS names and IP addresses that the certificate is valid for.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names[0])])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + _VALIDITY)
        .add_extension(
            x509.SubjectAlternativeName([_general_name(n) for n in names]), False
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
        .sign(key, SHA256())
    )
    files = CertificateFiles(directory / "certificate.pem", directory / "key.pem")
    files.certificate.write_bytes(certificate.public_bytes(Encoding.PEM))
    files.private_key.touch(mode=0o600)
    files.private_key.write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    return files


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)
