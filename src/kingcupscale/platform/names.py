"""The platform's names of headers, paths and store keys."""

REQUEST_ID = "x-kingcupscale-request-id"
DEADLINE_MS = "x-kingcupscale-deadline-ms"
EXPECT_SERVER = "x-kingcupscale-expect-instance"
EXPECT_VERSION = "x-kingcupscale-expect-version"
SERVER_ID = "x-kingcupscale-instance-id"
COLD_MS = "x-kingcupscale-cold-ms"
SERVER_LOAD = "x-kingcupscale-instance-load"
ORGANISATION = "x-kingcupscale-tenant"
KEY = "api-key"
SERVER_LEAVING = "server-leaving"
SIGNATURE = "x-kingcupscale-server-stamp"
NOT_RUN = "x-kingcupscale-not-executed"
MODEL = "x-kingcupscale-model"
TOKENS = "x-kingcupscale-token-usage"
PROMPT = "x-kingcupscale-prompt-prefix"
LENGTH_HINT = "x-kingcupscale-length-hint"
PRIORITY = "x-kingcupscale-request-priority"
WEIGHT_VERSION = "x-kingcupscale-weight-versions"
WAIT_MS = "x-kingcupscale-wait-ms"
DUTY_HOLDER = "x-kingcupscale-duty-holder"
FENCING_TOKEN = "x-kingcupscale-fence-token"
RESUME_AFTER = "last-event-id"

BATCHES_PATH = "/lots/"
ITEMS_PATH = "/items/"
READY_PATH = "/ready"

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
VERSIONS_PREFIX = "op/version/"
EVACUATIONS_PREFIX = "op/evacuate/"
RETIREMENTS_PREFIX = "op/retire/"
RETIREMENT_STATES_PREFIX = "status/retire/"

# Headers that concern one connection are not forwarded in either direction.
# Request headers that nodes set themselves are removed from senders' requests.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
OWN_REQUEST_HEADERS = frozenset(
    {
        KEY,
        ORGANISATION,
        DEADLINE_MS,
        EXPECT_SERVER,
        EXPECT_VERSION,
        PRIORITY,
        WAIT_MS,
        REQUEST_ID,
        RESUME_AFTER,
    }
)
