"""Exit codes of `cactusgauge`; documented in docs/OPERATIONS.md and stable across releases."""

from cactusgauge import client

COMPLETE = 0
FAILED = 1
USAGE = 2  # the code that click uses
REFUSED = 3
UNKNOWN = 4
RUNNING = 5  # also for a configuration that is accepted but not yet in force at every entry

BY_OUTCOME = {
    client.Outcome.COMPLETE: COMPLETE,
    client.Outcome.FAILED: FAILED,
    client.Outcome.REFUSED: REFUSED,
    client.Outcome.UNKNOWN: UNKNOWN,
    client.Outcome.RUNNING: RUNNING,
}
