"""A certificate chain and its key, parsed and checked."""

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
    """A certificate chain and a key as they were read."""

    certificate: bytes
    key: models.Secret


class Material(typing.NamedTuple):
    """A certificate chain and the key that fits it.

    Attributes:
        certificate: Certificate of this instance.
        chain: Further certificates, the issuer's first.
        private_key: Key of the certificate.
        fingerprint: SHA-256 of the certificate, hex digits.
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
    """Parse a chain and a key and check that they fit and are in date.

    Args:
        pem: What was read.
        settings: Where it was read, for errors.
        now: Present time, in UTC.

    Raises:
        TlsMaterialError: Something is malformed, does not fit or is out of
            date.
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
    """Tell whether a certificate ends within the days of warning."""
    warning = datetime.timedelta(days=const.EXPIRY_WARNING_DAYS)
    return material.expires - now < warning


def _material_error(
    reason: exceptions.TlsReason, source: str
) -> exceptions.TlsMaterialError:
    return exceptions.TlsMaterialError(reason, source)


def _parse_chain(text: bytes, source: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(text)
    except ValueError:
        raise _material_error(exceptions.TlsReason.MALFORMED, source) from None


def _parse_key(text: models.Secret, source: str) -> types.PrivateKeyTypes:
    # Errors of the parser are left out: they may quote the key.
    try:
        return serialization.load_pem_private_key(text, password=None)
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
