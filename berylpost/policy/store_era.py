"""Decides what an answer of the store, or an entry in it, is worth after a restore.

The store may come back from an older copy. Its era rises then, and it gives out the
revisions since the copy again, for other contents.
"""

from enum import StrEnum


class EraVerdict(StrEnum):
    """What an answer says about the era of the store.

    Attributes:
        CURRENT: the answer belongs to the era that is known.
        RISEN: the store came back from an older copy since.
        OUTDATED: the answer was made before that and arrived late.
    """

    CURRENT = "current"
    RISEN = "risen"
    OUTDATED = "outdated"


def judge_era(
    stated: int | None, *, known: int, asked_at: float, learnt_at: float
) -> EraVerdict:
    """Decides what an answer says about the era.

    Args:
        stated: era that the answer names; None for none that can be read.
        known: era that is known.
        asked_at: when the call was made, seconds.
        learnt_at: when the known era was learnt, seconds of the same clock.
    """
    if stated is None or stated == known:
        return EraVerdict.CURRENT
    if stated > known:
        return EraVerdict.RISEN
    # An era never falls: without a delay that explains it, the value is wrong.
    return EraVerdict.OUTDATED if asked_at < learnt_at else EraVerdict.CURRENT


def may_be_copy(revision: int, *, withdrawn_at: int, first_seen: int | None) -> bool:
    """Tells whether an entry may come from the copy, not from its writer since.

    Args:
        revision: revision of the entry after the restore.
        withdrawn_at: revision, before the restore, at which the entry was removed or
            said that its server leaves.
        first_seen: revision at which the entry was first seen after the restore; None
            if this is the first time.
    """
    return revision <= withdrawn_at and first_seen in (None, revision)
