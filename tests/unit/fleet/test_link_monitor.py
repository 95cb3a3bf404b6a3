from typing import cast

from cactusgauge import observability
from cactusgauge.fleet import fleet_link, link_monitor


class _Link:
    def __init__(self) -> None:
        self.last_received_at = 0.0
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


def _monitor(*links: _Link) -> link_monitor.LinkMonitor:
    monitor = link_monitor.LinkMonitor(observability.Counters())
    for link in links:
        monitor.add(cast("fleet_link.FleetLink", link))
    return monitor


def test_silent_link_is_dropped_and_others_are_kept() -> None:
    """Guards against keeping a link that went silent without a reset, and against closing other links with it."""
    silent, heard = _Link(), _Link()
    monitor = _monitor(silent, heard)
    for beat in range(1, 10):
        heard.last_received_at = beat * 0.15
        monitor.check(beat * 0.15)
    assert silent.is_aborted
    assert not heard.is_aborted


def test_link_of_a_paused_process_gets_time_to_be_read() -> None:
    """Guards against closing links after a pause of this process although their messages have arrived."""
    link = _Link()
    monitor = _monitor(link)
    monitor.check(0.15)
    monitor.check(3.0)  # the process was paused since the last check
    link.last_received_at = 3.01
    monitor.check(3.15)
    assert not link.is_aborted
