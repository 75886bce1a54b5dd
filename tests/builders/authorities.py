"""Certificate authorities that issue certificates for loopback addresses."""

import dataclasses
import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

_VALIDITY = datetime.timedelta(days=1)


@dataclasses.dataclass(slots=True)
class IssuedCertificate:
    """An issued certificate.

    Attributes:
        certificate: Path of the PEM certificate.
        key: Path of the PEM private key.
        serial_number: Serial number of the certificate.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    serial_number: int


class Authority:
    """Certificate authority.

    Attributes:
        certificate: Path of its own PEM certificate.
    """

    def __init__(self, directory: pathlib.Path, name: str) -> None:
        self._directory = directory
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        signed = (
            _create_builder(self._name, self._key.public_key())
            .issuer_name(self._name)
            .add_extension(constraints, critical=True)
            .sign(self._key, hashes.SHA256())
        )
        self.certificate = directory / f"{name}.pem"
        self.certificate.write_bytes(_encode_pem(signed))

    def issue(self, name: str) -> IssuedCertificate:
        """Issues a certificate for 127.0.0.1.

        Args:
            name: Common name and name of the files; existing files are
                replaced.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.IPv4Address("127.0.0.1"))
        signed = (
            _create_builder(subject, key.public_key())
            .issuer_name(self._name)
            .add_extension(
                x509.SubjectAlternativeName([address]), critical=False
            )
            .sign(self._key, hashes.SHA256())
        )
        issued = IssuedCertificate(
            self._directory / f"{name}.pem",
            self._directory / f"{name}.key",
            signed.serial_number,
        )
        issued.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        issued.certificate.write_bytes(_encode_pem(signed))
        return issued


def _create_builder(
    subject: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _VALIDITY)
        .not_valid_after(now + _VALIDITY)
    )


def _encode_pem(signed: x509.Certificate) -> bytes:
    return signed.public_bytes(serialization.Encoding.PEM)
