"""The schema of a node's settings file."""

from galenatack.settings import checks
from galenatack.settings import field_spec

MAX_SLOTS = 10_000
MAX_DRAIN_MS = 600_000
MAX_REGION_DELAY_MS = 10_000
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
INVARIANT_MODES = ("raise", "count")
TRUST_MODES = ("mtls", "none")

_NAME = "a name of 1 to 63 letters, digits, '.', '_' or '-'"
_ADDRESS = "IP:port, such as 127.0.0.1:7000 or [::1]:7000"
_URL = "http://IP:port or https://IP:port"
_FILE = "a path, relative to the settings file"
_TOKENS = "a list of different tokens of at least 16 characters"

_Spec = field_spec.FieldSpec

FIELDS = (
    _Spec(
        "deployment",
        checks.name,
        _NAME,
        "Name of the deployment; links to other deployments are refused.",
    ),
    _Spec(
        "node_id",
        checks.name,
        _NAME,
        "Identifier of the node, unique in the deployment.",
    ),
    _Spec("data_centre", checks.name, _NAME, "Data centre of the instance."),
    _Spec("region", checks.name, _NAME, "Region of the data centre."),
    _Spec("service", checks.name, _NAME, "Service of the node's target."),
    _Spec("version", checks.name, _NAME, "Version of the node's target."),
    _Spec(
        "call_address",
        checks.address,
        _ADDRESS,
        "Where callers connect; announced to other nodes.",
    ),
    _Spec(
        "peer_address",
        checks.address,
        _ADDRESS,
        "Where other nodes connect; announced to them.",
    ),
    _Spec(
        "admin_address",
        checks.address,
        _ADDRESS,
        "Where operators, probes and metrics connect.",
    ),
    _Spec("target_url", checks.url, _URL, "Base URL of the target."),
    _Spec(
        "platform_url",
        checks.url,
        _URL,
        "Base URL of the table service and the object store.",
    ),
    _Spec(
        "seeds",
        checks.list_of(checks.address),
        f"a list of different addresses, each {_ADDRESS}",
        "Peer addresses to dial at start; empty for the first node.",
    ),
    _Spec(
        "slots",
        checks.integer(minimum=1, maximum=MAX_SLOTS),
        f"a whole number from 1 to {MAX_SLOTS}",
        "Calls that the target runs at once.",
    ),
    _Spec(
        "drain_ms",
        checks.integer(minimum=0, maximum=MAX_DRAIN_MS),
        f"whole milliseconds from 0 to {MAX_DRAIN_MS}, without a unit",
        "Longest time that a planned stop waits for calls.",
        default=10_000,
    ),
    _Spec(
        "invariants",
        checks.one_of(*INVARIANT_MODES),
        " or ".join(INVARIANT_MODES),
        "Whether a violated invariant raises, or is counted and logged.",
        default="count",
    ),
    _Spec(
        "fault_injection",
        checks.flag,
        "true or false",
        "Allows the admin call that cuts links; for tests only.",
        default=False,
    ),
    _Spec(
        "region_delay_ms",
        checks.integer(minimum=0, maximum=MAX_REGION_DELAY_MS),
        f"whole milliseconds from 0 to {MAX_REGION_DELAY_MS}, without a unit",
        "Delay added to frames to other regions; for tests only.",
        default=0,
    ),
    _Spec(
        "log_level",
        checks.one_of(*LOG_LEVELS),
        ", ".join(LOG_LEVELS[:-1]) + f" or {LOG_LEVELS[-1]}",
        "Least level of the log lines that are written.",
        default="INFO",
    ),
    _Spec(
        "trust.mode",
        checks.one_of(*TRUST_MODES),
        " or ".join(TRUST_MODES),
        "Mutual TLS, or no protection, which is warned about at start.",
    ),
    _Spec(
        "trust.ticket_key",
        checks.secret,
        "a secret of at least 16 characters",
        "Signs tickets; the same on all nodes of the deployment.",
        is_secret=True,
    ),
    _Spec(
        "trust.ca_file",
        checks.optional_text,
        _FILE,
        "Certificates that sign the deployment's members; needed for mtls.",
        default="",
    ),
    _Spec(
        "trust.cert_file",
        checks.optional_text,
        _FILE,
        "This node's certificate; needed for mtls.",
        default="",
    ),
    _Spec(
        "trust.key_file",
        checks.optional_text,
        _FILE,
        "This node's private key; needed for mtls.",
        default="",
    ),
    _Spec(
        "trust.operator_tokens",
        checks.list_of(checks.secret),
        _TOKENS,
        "Bearer tokens that may change the configuration.",
        default=(),
        is_secret=True,
    ),
    _Spec(
        "trust.viewer_tokens",
        checks.list_of(checks.secret),
        _TOKENS,
        "Bearer tokens that may only read.",
        default=(),
        is_secret=True,
    ),
)
