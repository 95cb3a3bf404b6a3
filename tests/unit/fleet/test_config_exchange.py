from cactusgauge.fleet import config_exchange


def test_copy_is_made_early_for_an_entry_with_an_older_version() -> None:
    """Guards against an entry that cannot reach the store and keeps an old version that agents could replace."""
    schedule = config_exchange.CopySchedule()
    assert not schedule.is_due(1, 1, 2, 0.0)
    assert schedule.is_due(1, 1, 2, config_exchange.RELAY_AFTER_S)


def test_copies_of_many_agents_are_spread() -> None:
    """Guards against all agents requesting a large configuration at the moment at which it takes effect."""
    due = []
    for _ in range(200):
        schedule = config_exchange.CopySchedule()
        times = [step * 0.5 for step in range(30) if schedule.is_due(1, 2, 2, step * 0.5)]
        due.append(times[0])
    assert max(due) <= config_exchange.MAX_COPY_DELAY_S
    assert sum(at < 1.0 for at in due) < 60


def test_nothing_is_copied_twice() -> None:
    """Guards against requests for a configuration that the agent already has."""
    schedule = config_exchange.CopySchedule()
    assert not any(schedule.is_due(2, 1, 2, step * 1.0) for step in range(30))
