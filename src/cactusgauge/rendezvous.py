"""Weighted rendezvous hashing of workspaces over entries."""

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids, wire

HASH_RANGE = 2**64


def unit_hash(key: str, candidate: str) -> float:
    """Hash a key and a candidate to a number between 0 and 1."""
    # The 0.5 keeps a digest of 0 from giving 0, which has no logarithm.
    return (xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode()) + 0.5) / HASH_RANGE


def score(workspace: "ids.WorkspaceName", entry: "wire.EntryInfo") -> float:
    """Return the weighted rendezvous score of an entry for a workspace; the highest score is preferred.

    With this formula, each entry is preferred for a share of the workspaces in proportion to its weight.
    """
    return -entry.weight / math.log(unit_hash(workspace, entry.name))


def rank(workspace: "ids.WorkspaceName", entries: "abc.Iterable[wire.EntryInfo]") -> "list[wire.EntryInfo]":
    """Return the entries that serve a workspace, in order of preference."""
    candidates = [entry for entry in entries if workspace in entry.workspaces]
    return sorted(candidates, key=lambda entry: (-score(workspace, entry), entry.name))
