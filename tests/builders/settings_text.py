"""Settings files as text, with their key files."""

import pathlib

KEY_DIGITS = 'ab' * 32

BALANCER = """\
instance: balancer-1
failure_domain: accra-a
region: accra
address: 127.20.0.1
control_port: 7000
status_port: 7001
platform:
  url: http://127.20.0.2:9000/
shared_key_file: shared.hex
"""

AGENT = f"""\
{BALANCER}service: storefront
data_port: 7100
backend_server: {{address: 127.20.0.3, port: 8000}}
tls: {{certificate: cert.pem, key: 'platform:tls/key'}}
"""

CONSOLE = f"""\
{BALANCER}listen: {{address: 127.20.0.1, port: 8443}}
operators: [{{name: ama, password_hash: "$argon2id$hash"}}]
session_key_file: shared.hex
"""


def write(folder: pathlib.Path, text: str | bytes) -> str:
    """Write a settings file and its key file; return the settings path."""
    (folder / 'shared.hex').write_text(f'{KEY_DIGITS}\n')
    path = folder / 'settings.yaml'
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)
