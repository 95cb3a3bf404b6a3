from cactusgauge.fleet import known_entries


async def test_addresses_that_cannot_be_dialled_take_no_place() -> None:
    """Guards against an agent that drops its links because odd addresses rank before its entries."""
    known = known_entries.KnownEntries()
    assert not known.confirm(["", "http://[", "ws://10.0.0.1:99999", "http://10.0.0.1:80", "ws://:80", "ws://a:0"])
    assert known.confirm(["ws://10.0.0.1:80"])
    assert known.current() == ["ws://10.0.0.1:80"]
