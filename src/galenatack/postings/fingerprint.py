"""Identifies what a posting asks for."""

import hashlib

from galenatack.model import call_request


def of(request: call_request.CallRequest) -> str:
    """Returns a SHA-256 in hex over service, method, path and body.

    Headers are left out: tracing headers differ between repeats.
    """
    digest = hashlib.sha256()
    head = (request.service, request.method, request.path)
    for part in (*(text.encode() for text in head), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
