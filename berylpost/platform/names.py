"""Names of headers, calls and stored objects in the platform's protocol.

Other modules refer to the names by these constants.
"""

from typing import Final

SETTINGS_VARIABLE: Final = "BERYLPOST_BOOT"

# Headers of callers' requests, in lower case because that is how they are compared.
ATTEMPT_ID: Final = b"x-berylpost-attempt-id"
DEADLINE: Final = b"x-berylpost-deadline-ms"
TOKEN_COUNTS: Final = b"x-berylpost-token-counts"
PROMPT_PARTS: Final = b"x-berylpost-prompt-prefix"
LAST_EVENT_ID: Final = b"last-event-id"
RESUMED_ID: Final = b"resumes"
AUTHORIZATION: Final = b"authorization"

# Headers that only this system sets on requests to backend servers.
CUSTOMER: Final = b"x-berylpost-tenant"
EXPECTED_BACKEND: Final = b"x-berylpost-expect-replica"
URGENCY: Final = b"x-berylpost-urgency-class"
KV_SOURCE: Final = b"kv-from"
SYSTEM_HEADERS: Final = frozenset(
    {
        CUSTOMER,
        EXPECTED_BACKEND,
        URGENCY,
        DEADLINE,
        LAST_EVENT_ID,
        AUTHORIZATION,
        b"x-berylpost-expect-version",
        b"x-berylpost-hold",
        b"x-berylpost-pin-ms",
        b"x-berylpost-kv-backup",
        KV_SOURCE,
        b"kv-fetch",
    }
)

# Headers of backend servers' responses.
SIGNATURE: Final = b"x-berylpost-replica-signature"
LOAD: Final = b"x-berylpost-replica-load"
RATE_LIMIT: Final = b"server-limit"
LEAVING: Final = b"server-leaving"
BRITTLE: Final = b"server-brittle"
NOT_EXECUTED: Final = b"x-berylpost-not-executed"

# Header of all the store's responses.
STORE_ERA: Final = b"store-era"

# Headers of duty calls.
DUTY_HOLDER: Final = "X-Berylpost-Duty-Holder"
DUTY_FENCE: Final = "X-Berylpost-Fence-Token"

# Calls that this system serves.
READINESS_PATH: Final = "/v1/ready"
DIRECTORY_PATH: Final = "/v1/resolve"

# Calls that the platform serves, and kinds and names of stored objects.
OBJECTS_PATH: Final = "/v1/objects"
USAGE_PATH: Final = "/usage"
FLEET_PATH: Final = "/scaling"
KIND_CONFIGURATION: Final = "config"
KIND_BACKENDS: Final = "servers"
CONFIGURATION_NAME: Final = "main"
KIND_LEASES: Final = "berylpost-leases"
KIND_MEMBERS: Final = "berylpost-members"
KIND_HOLDS: Final = "berylpost-holds"
KIND_STREAMS: Final = "berylpost-streams"
KIND_ERAS: Final = "berylpost-eras"
KIND_ROLLOUTS: Final = "rollouts"
KIND_ROLLOUT_RECORDS: Final = "berylpost-rollouts"
ROLLOUT_CONTRACT: Final = "rollout"
