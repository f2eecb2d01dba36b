"""A certificate chain and its private key, parsed and validated."""

import datetime
import typing

from cryptography import exceptions as crypto_exceptions
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import types

from kumquatport import exceptions
from kumquatport.process.settings import models
from kumquatport.process.tls import const


class Pem(typing.NamedTuple):
    """A certificate chain and a private key in PEM, not yet validated."""

    certificate: bytes
    key: models.Secret


class Material(typing.NamedTuple):
    """A certificate chain and the matching private key.

    Attributes:
        certificate: Certificate of this instance.
        chain: Further certificates, that of the issuer first.
        private_key: Private key of the certificate.
        fingerprint: SHA-256 hash of the certificate, in hex digits.
        expires: End of the certificate's validity, in UTC.
    """

    certificate: x509.Certificate
    chain: tuple[x509.Certificate, ...]
    private_key: types.PrivateKeyTypes
    fingerprint: str
    expires: datetime.datetime


def parse(
    pem: Pem, settings: models.TlsSettings, now: datetime.datetime
) -> Material:
    """Parse a chain and a key and validate that they match and are current.

    Args:
        pem: Chain and key in PEM.
        settings: Sources of both, named in errors.
        now: Current time, in UTC.

    Raises:
        TlsMaterialError: The chain or the key is malformed, they do not match,
            or the certificate is expired or not yet valid.
    """
    chain = _parse_chain(pem.certificate, settings.certificate)
    private_key = _parse_key(pem.key, settings.key)
    leaf = chain[0]
    if _public_key_der(leaf) != _public_key_der(private_key):
        raise _material_error(exceptions.TlsReason.MISMATCH, settings.key)
    if now < leaf.not_valid_before_utc:
        raise _material_error(
            exceptions.TlsReason.NOT_YET_VALID, settings.certificate
        )
    if now >= leaf.not_valid_after_utc:
        raise _material_error(
            exceptions.TlsReason.EXPIRED, settings.certificate
        )
    return Material(
        certificate=leaf,
        chain=tuple(chain[1:]),
        private_key=private_key,
        fingerprint=leaf.fingerprint(hashes.SHA256()).hex(),
        expires=leaf.not_valid_after_utc,
    )


def expires_soon(material: Material, now: datetime.datetime) -> bool:
    """Return whether a certificate expires within the warning period."""
    warning_period = datetime.timedelta(days=const.EXPIRY_WARNING_DAYS)
    return material.expires - now < warning_period


def _material_error(
    reason: exceptions.TlsReason, source: str
) -> exceptions.TlsMaterialError:
    return exceptions.TlsMaterialError(reason, source)


def _parse_chain(pem: bytes, source: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(pem)
    except ValueError:
        raise _material_error(exceptions.TlsReason.MALFORMED, source) from None


def _parse_key(pem: models.Secret, source: str) -> types.PrivateKeyTypes:
    # Errors of the parser are not chained: they may contain parts of the key.
    try:
        return serialization.load_pem_private_key(pem, password=None)
    except (
        ValueError,
        TypeError,
        crypto_exceptions.UnsupportedAlgorithm,
    ):
        raise _material_error(exceptions.TlsReason.MALFORMED, source) from None


def _public_key_der(
    certificate_or_key: x509.Certificate | types.PrivateKeyTypes,
) -> bytes:
    return certificate_or_key.public_key().public_bytes(
        serialization.Encoding.DER,
        serialization.PublicFormat.SubjectPublicKeyInfo,
    )
