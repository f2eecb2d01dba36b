"""Reads and writes objects of the platform stand-in directly."""

import urllib.error
import urllib.request

from kumquatport.platform import calls, responses

TIMEOUT_S = 5.0


def get(base_url: str, key: str) -> tuple[int, bytes]:
    """Return version and value of an object; raise OSError if missing."""
    url = str(calls.object_url(base_url, key))
    with urllib.request.urlopen(url, timeout=TIMEOUT_S) as answer:
        stored = responses.decode_object(answer.read(), key)
    return stored.version, stored.value


def put(base_url: str, key: str, value: bytes) -> int:
    """Write an object unconditionally; return its new version."""
    try:
        version, _ = get(base_url, key)
    except urllib.error.HTTPError:
        return _send(calls.post(base_url, key, value))
    return _send(calls.put(base_url, key, value, version + 1, None))


def _send(call: calls.Call) -> int:
    request = urllib.request.Request(
        str(call.url), call.body, method=call.kind.upper()
    )
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
        return responses.decode_object(answer.read(), call.key).version
