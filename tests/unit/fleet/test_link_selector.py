import collections

from cactusgauge.fleet import link_selector

URLS = [f"ws://10.0.0.{number}:7000" for number in range(14)]


def test_small_deployment_is_linked_in_full() -> None:
    """Guards against entries of a small deployment that see only some of the workers."""
    selector = link_selector.LinkSelector("agent-1")
    assert selector.select(URLS[:4], URLS[:4], set(), 0.0) == set(URLS[:4])


def test_links_are_few_and_spread() -> None:
    """Guards against an entry that most agents link to, or that no agent links to."""
    counts: collections.Counter[str] = collections.Counter()
    for number in range(76):
        wanted = link_selector.LinkSelector(f"agent-{number}").select(URLS, URLS, set(), 0.0)
        assert len(wanted) == link_selector.LINKS_PER_AGENT
        counts.update(wanted)
    mean = 76 * link_selector.LINKS_PER_AGENT / len(URLS)
    assert min(counts.values()) > mean / 2
    assert max(counts.values()) < mean * 2


def test_dead_entries_are_replaced_by_others() -> None:
    """Guards against an agent that only retries lost entries while others are alive."""
    selector = link_selector.LinkSelector("agent-1")
    first = selector.select(URLS, [], set(), 0.0)
    dead = sorted(first)[:3]
    alive = [url for url in URLS if url not in dead]
    selector.select(URLS, alive, set(), 1.0)
    later = selector.select(URLS, alive, set(), 3.0)
    assert len(later & set(alive)) == link_selector.LINKS_PER_AGENT
    assert set(dead) <= later, "lost entries are still dialled, as they may come back"


def test_entry_with_runs_stays_linked() -> None:
    """Guards against stopping runs because their entry ranks lower than a new one."""
    selector = link_selector.LinkSelector("agent-1", links=1)
    (preferred,) = selector.select(URLS, URLS, set(), 0.0)
    other = next(url for url in URLS if url != preferred)
    assert selector.select(URLS, URLS, {other}, 0.0) == {preferred, other}
