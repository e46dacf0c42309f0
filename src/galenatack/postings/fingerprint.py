"""Fingerprints of posting requests, to detect reused keys."""

import hashlib

from galenatack.model import call_request


def compute(request: call_request.CallRequest) -> str:
    """Returns the SHA-256 of service, method, path and body, in hex.

    Headers are excluded, because tracing headers differ between repeats.
    """
    digest = hashlib.sha256()
    head = (request.service, request.method, request.path)
    for part in (*(text.encode() for text in head), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
