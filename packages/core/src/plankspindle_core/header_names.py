"""Names of the HTTP headers that plankspindle reads and writes, in lower case."""

from __future__ import annotations

OUTCOME = b"plankspindle-outcome"
REASON = b"plankspindle-reason"
SHED = b"plankspindle-shed"
FORWARDED = b"plankspindle-forwarded"
GRANT = b"plankspindle-grant"
REQUEST_ID = b"plankspindle-request-id"
DEADLINE = b"plankspindle-deadline"
TIMEOUT = b"plankspindle-timeout-ms"
SERVED_BY = b"plankspindle-served-by"
LOG_ID = b"plankspindle-log-id"
REPLAYED = b"plankspindle-replayed"
IDEMPOTENCY_KEY = b"idempotency-key"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
