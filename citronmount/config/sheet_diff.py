"""What changes for whom between two configurations."""

from collections.abc import Iterator
from collections.abc import Mapping
import enum
import itertools

import msgspec

from citronmount.config import configuration as configuration_lib

__all__ = ["Change", "ChangeKind", "Subject", "diff"]


class ChangeKind(enum.Enum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Subject(enum.Enum):
    """What kind of entry differs."""

    FAILURE_DOMAIN = "failure_domain"
    CLIENT_ACCOUNT = "client_account"
    GUARANTEE = "guarantee"
    ALLOWANCE = "allowance"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One entry that differs between two configurations.

    Attributes:
        name: The client account or failure domain concerned.
        subject: The kind of the entry.
        kind: How it differs.
        before: Its old value, empty if added.
        after: Its new value, empty if removed.
        shape: The shape of a guarantee, otherwise empty.
    """

    name: str
    subject: Subject
    kind: ChangeKind
    before: str = ""
    after: str = ""
    shape: str = ""

    def __str__(self) -> str:
        """Returns one line for a person."""
        what = f"{self.subject.value} {self.shape}".strip()
        line = f"{self.name}: {what} {self.kind.value}"
        if self.kind is ChangeKind.CHANGED:
            return f"{line}: {self.before} -> {self.after}"
        return f"{line}: {self.before or self.after}"


Entries = Mapping[tuple[str, str], str]


def diff(
    old: configuration_lib.Configuration, new: configuration_lib.Configuration
) -> tuple[Change, ...]:
    """Compares two configurations.

    Args:
        old: The configuration in force.
        new: The one that would replace it.

    Returns:
        The changes, sorted by name; the version is not compared.
    """
    old_entries = _entries(old)
    new_entries = _entries(new)
    changes = itertools.chain.from_iterable(
        _changes(subject, old_entries[subject], new_entries[subject])
        for subject in Subject
    )
    return tuple(
        sorted(changes, key=lambda c: (c.name, c.subject.value, c.shape))
    )


def _changes(subject: Subject, old: Entries, new: Entries) -> Iterator[Change]:
    for key in old.keys() | new.keys():
        before = old.get(key, "")
        after = new.get(key, "")
        if before == after:
            continue
        name, shape = key
        yield Change(
            name=name,
            subject=subject,
            kind=_kind(before, after),
            before=before,
            after=after,
            shape=shape,
        )


def _kind(before: str, after: str) -> ChangeKind:
    if not before:
        return ChangeKind.ADDED
    return ChangeKind.CHANGED if after else ChangeKind.REMOVED


def _entries(
    configuration: configuration_lib.Configuration,
) -> dict[Subject, Entries]:
    return {
        Subject.FAILURE_DOMAIN: {
            (domain.name, ""): domain.state.value
            for domain in configuration.failure_domains
        },
        Subject.CLIENT_ACCOUNT: {
            (account.name, ""): account.account_class.value
            for account in configuration.accounts
        },
        Subject.GUARANTEE: {
            (guarantee.account, _shape(guarantee)): (
                f"{guarantee.copies} copies"
            )
            for guarantee in configuration.guarantees
        },
        Subject.ALLOWANCE: {
            (allowance.account, ""): f"{allowance.accelerators} accelerators"
            for allowance in configuration.allowances
        },
    }


def _shape(guarantee: configuration_lib.Guarantee) -> str:
    per_task = guarantee.per_task
    extras = [
        f"{amount} {unit}"
        for amount, unit in (
            (per_task.cores, "cores"),
            (per_task.memory_gb, "GB"),
        )
        if amount
    ]
    size = f"{guarantee.tasks} x {per_task.accelerators} accelerators"
    where = guarantee.failure_domain or "any failure domain"
    sizes = ", ".join((size, *extras))
    return f"({sizes} in one {guarantee.adjacency.value}, {where})"
