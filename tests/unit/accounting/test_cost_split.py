import hypothesis
from hypothesis import strategies

from cactusgauge import accounting


@hypothesis.given(
    strategies.integers(0, 10**9),
    strategies.dictionaries(strategies.text(max_size=3), strategies.integers(0, 10**12), min_size=1, max_size=8),
)
@hypothesis.settings(derandomize=True)
def test_split_is_complete_and_fair_to_the_cent(cents: int, units: dict[str, int]) -> None:
    """Guards against cents that are charged to no workspace or to two."""
    shares = accounting.split_cost(cents, units)
    assert sum(shares.values()) == cents
    total = sum(units.values())
    if total:
        assert all(abs(share * total - cents * units[name]) < total for name, share in shares.items())
    else:
        assert max(shares.values()) - min(shares.values()) <= 1
