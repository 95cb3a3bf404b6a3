"""Decides how often an agent reports its worker to the entries."""

from cactusgauge import runs, scheduling

SCARCE_SHARE = 0.25  # of the worker's CPU; with more free, several orders of other entries fit in any case
SCARCE_REPORT_INTERVAL_S = 0.06


def report_interval_s(report: scheduling.WorkerReport) -> float:
    """Return the minimum seconds between two reports of a worker to all entries.

    Near full load a worker is refilled within tens of milliseconds. Entries with an older report send it orders that
    find no room, or leave free room unused. With plenty of room the exact amount does not matter, and a message is
    saved at both ends.
    """
    if report.free.cpu_millicores > SCARCE_SHARE * report.capacity.cpu_millicores:
        return runs.HEARTBEAT_INTERVAL_S
    return SCARCE_REPORT_INTERVAL_S
