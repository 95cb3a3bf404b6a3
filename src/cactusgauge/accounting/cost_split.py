"""Splits a shared cost between workspaces."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc


def split_cost(cents: int, units: "abc.Mapping[str, int]") -> dict[str, int]:
    """Split an amount in proportion to units, to the cent and without a rest.

    Each workspace first gets its share rounded down; the cents left over go to the largest fractions, then by name.
    Without any units all workspaces pay the same.
    """
    if not units:
        return {}
    weights = dict(units) if any(units.values()) else dict.fromkeys(units, 1)
    total = sum(weights.values())
    shares = {name: divmod(cents * weight, total) for name, weight in weights.items()}
    remainder = cents - sum(share for share, _ in shares.values())
    by_fraction = sorted(shares, key=lambda name: (-shares[name][1], name))
    return {name: share + (name in by_fraction[:remainder]) for name, (share, _) in shares.items()}
