"""Server contexts of the ssl module, from a certificate and its key."""

import contextlib
import os
import ssl
from collections import abc

from cryptography.hazmat.primitives import serialization

from kumquatport.process.tls import material


def create_server_context(loaded: material.Material) -> ssl.SSLContext:
    """Return a server context that presents a certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    load_certificate(context, loaded)
    return context


def load_certificate(
    context: ssl.SSLContext, loaded: material.Material
) -> None:
    """Present another certificate on new connections; open ones continue.

    The ssl module loads certificates and keys only from files, so both are
    passed through pipes; the key is never written to disk.
    """
    certificates = (loaded.certificate, *loaded.chain)
    encoding = serialization.Encoding.PEM
    chain = b''.join(
        certificate.public_bytes(encoding) for certificate in certificates
    )
    key = loaded.private_key.private_bytes(
        encoding,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    with _readable_path(chain) as chain_path, _readable_path(key) as key_path:
        context.load_cert_chain(chain_path, key_path)


@contextlib.contextmanager
def _readable_path(content: bytes) -> abc.Iterator[str]:
    """Write content to a pipe and yield a path to read it from."""
    reader, writer = os.pipe()
    try:
        with os.fdopen(writer, 'wb') as stream:
            stream.write(content)
        yield f'/proc/self/fd/{reader}'
    finally:
        os.close(reader)
