from cactusgauge import observability


async def test_ring_is_bounded_and_numbers_show_what_was_lost() -> None:
    """Guards against unbounded memory use, and against a reader that does not notice overwritten events."""
    ring = observability.EventRing("p", capacity=3)
    assert ring.since(0) == []
    for index in range(5):
        ring.record("kind", task=index)
    assert [(event.number, event.fields["task"]) for event in ring.since(0)] == [(3, 2), (4, 3), (5, 4)]
    assert [event.number for event in ring.since(3, limit=1)] == [4]
    assert ring.since(5) == ring.since(99) == []
