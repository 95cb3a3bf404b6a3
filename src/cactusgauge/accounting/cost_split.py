"""Splits a shared cost between workspaces."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc


def split_cost(cents: int, units: "abc.Mapping[str, int]") -> dict[str, int]:
    """Split `cents` in proportion to the `units` of each workspace; the shares add up to the amount exactly.

    Largest remainder method: each share is rounded down, and the remaining cents go to the largest fractions, with ties
    broken by name. If all units are zero, the amount is split equally.
    """
    if not units:
        return {}
    weights = dict(units) if any(units.values()) else dict.fromkeys(units, 1)
    total = sum(weights.values())
    shares = {name: divmod(cents * weight, total) for name, weight in weights.items()}
    remainder = cents - sum(share for share, _ in shares.values())
    by_fraction = sorted(shares, key=lambda name: (-shares[name][1], name))
    # Adding the boolean gives each of the first `remainder` workspaces one cent more.
    return {name: share + (name in by_fraction[:remainder]) for name, (share, _) in shares.items()}
