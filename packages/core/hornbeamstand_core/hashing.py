"""Rendezvous hashing (highest random weight) over xxHash."""

import xxhash


def score(member_id, key):
    """Return the weight of a member for a key, equal on every VM."""
    return xxhash.xxh64_intdigest(f"{member_id}\x00{key}".encode())


def rank(member_ids, key):
    """Return the members from the highest weight for the key to the lowest."""
    return sorted(member_ids, key=lambda member_id: (-score(member_id, key), member_id))
