"""Settings of TLS, keys and roles."""

import typing


class TrustSettings(typing.NamedTuple):
    """TLS, keys and access tokens of a node.

    Attributes:
        mode: `mtls` or `none`; `none` logs a warning at start.
        ca_file: Certificates that sign the deployment's members.
        cert_file: This node's certificate.
        key_file: This node's private key.
        ticket_key: Secret shared by the deployment; signs tickets.
        operator_tokens: Bearer tokens with the role `operator`.
        viewer_tokens: Bearer tokens with the role `viewer`.
    """

    mode: str
    ticket_key: str
    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""
    operator_tokens: tuple[str, ...] = ()
    viewer_tokens: tuple[str, ...] = ()
