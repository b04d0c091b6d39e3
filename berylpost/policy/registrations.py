"""Registrations of backend servers that expire and return while the store is away.

The policy is designed for the seconds after an outage in which the entries of all
servers expired: the servers register again within two seconds, and daemons learn of
removals and registrations from watches, lists and each other in any order. Without a
comparison of revisions, one late answer removes a whole fleet everywhere.
"""


def is_gone(known_revision: int, *, as_of: int) -> bool:
    """Tells whether a removal concerns the registration that is known.

    Args:
        known_revision: revision of the known entry.
        as_of: latest revision of the entry that the removal covers: of the removed
            entry, or of the list that lacks it.

    Returns:
        False if the server has registered again since.
    """
    return known_revision <= as_of
