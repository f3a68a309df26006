"""Rendezvous hashing (highest random weight) over xxHash."""

import xxhash


def score(member_id, key):
    """Return the hash score of a member for a key; it is the same on every VM."""
    return xxhash.xxh64_intdigest(f"{member_id}\x00{key}".encode())


def rank(member_ids, key):
    """Return the members ordered by their score for the key, the highest first."""
    return sorted(member_ids, key=lambda member_id: (-score(member_id, key), member_id))
