"""Self-signed certificates in memory."""

import datetime
import typing

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid


class Pair(typing.NamedTuple):
    """A certificate and its private key."""

    certificate: x509.Certificate
    private_key: ec.EllipticCurvePrivateKey


def self_signed(name: str = 'localhost') -> Pair:
    """Build a certificate that is valid for one day."""
    private_key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder(
        issuer_name=subject,
        subject_name=subject,
        public_key=private_key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=now - datetime.timedelta(hours=1),
        not_valid_after=now + datetime.timedelta(days=1),
    )
    return Pair(builder.sign(private_key, hashes.SHA256()), private_key)
