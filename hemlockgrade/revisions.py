"""Revisions of stored objects that stay in order when the store loses changes.

A store that comes back from an older copy of its data begins a new era: it goes
back to the number that the copy had and gives out the later numbers again, to
other changes. So a revision is one integer that orders by era first and by the
store's number second. The number of an object that the copy contains is the
same in both eras.
"""

# One more than the highest number of the store. A decimal factor keeps both
# parts readable in logs: 3000000000017 is number 17 of era 3.
ERA_FACTOR = 10**12
# Highest era whose revisions are 64-bit integers, as JSON encoders require.
MAX_ERA = 9_000_000


def revision_of(era: int, number: int) -> int:
    """Returns the revision of a number that the store gave out in an era.

    Args:
        era: Era of the store, from 0 to `MAX_ERA`; 0 if it names none.
        number: Revision number of the store in that era.

    Raises:
        ValueError: The number is negative or higher than any that a store can
            reach.
    """
    if not 0 <= number < ERA_FACTOR:
        raise ValueError(f'the revision number {number} is out of range')
    return era * ERA_FACTOR + number


def era_of(revision: int) -> int:
    """Returns the era in which the store gave out a revision."""
    return revision // ERA_FACTOR


def number_of(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision % ERA_FACTOR


def is_same_number(revision: int, other: int) -> bool:
    """Returns whether two revisions have the same number, in whichever eras.

    Revisions of the same object then stand for the same change, which a copy
    of the store has kept.
    """
    return number_of(revision) == number_of(other)


def is_of_earlier_era(revision: int, other: int) -> bool:
    """Returns whether a revision is of an earlier era than another one."""
    return era_of(revision) < era_of(other)
