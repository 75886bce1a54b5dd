"""Self-signed certificates for TLS between routers."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from dragonflydyke.protocol import server

_VALID_DAYS = 1


def build_tls() -> server.Tls:
    """Returns a certificate for 127.0.0.1 that is its own authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name(
        (x509.NameAttribute(x509.NameOID.COMMON_NAME, "127.0.0.1"),)
    )
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    now = datetime.datetime.now(datetime.UTC)
    margin = datetime.timedelta(days=_VALID_DAYS)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - margin)
        .not_valid_after(now + margin)
        .add_extension(x509.SubjectAlternativeName((address,)), False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), True)
        .sign(key, hashes.SHA256())
        .public_bytes(serialization.Encoding.PEM)
    )
    private_key = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return server.Tls(certificate, private_key, certificate)
