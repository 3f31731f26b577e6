"""Reads pool files, which describe a site's workers and runners in TOML."""

import itertools
import os
import pathlib
import tomllib
from typing import Annotated

import msgspec

from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import errors
from citronmount.core import ids
from citronmount.core import jobs

__all__ = ["Pool", "load"]

_PLACEHOLDER_ADDRESS = "0.0.0.0:0"
_MAX_COUNT = 10_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=100_000)]


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """All targets of a site.

    Attributes:
        workers: Targets with accelerators, which run jobs.
        runners: Targets with slots, which run short requests.
    """

    workers: tuple[messages.ListedTarget, ...]
    runners: tuple[messages.ListedTarget, ...]


class _Rack(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    failure_domain: Name
    rack: Name
    workers: Count
    accelerators: Amount
    cores: Amount
    memory_gb: Amount


class _RunnerGroup(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    failure_domain: Name
    runners: Count
    slots: Count
    connections: Count


class _PoolFile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    racks: tuple[_Rack, ...] = ()
    runners: tuple[_RunnerGroup, ...] = ()


def load(path: str | os.PathLike[str]) -> Pool:
    """Loads a pool file.

    Args:
        path: A TOML file with ``[[racks]]`` and ``[[runners]]`` tables.

    Returns:
        The targets. Their addresses are placeholders, as a pool file has
        none.

    Raises:
        errors.InvalidInputError: If the file cannot be read, is not valid
            TOML, has a missing or unknown key or a value of the wrong type or
            out of range, or gives two racks the same name.
    """
    file_name = os.fspath(path)
    try:
        document = tomllib.loads(pathlib.Path(path).read_text("utf-8-sig"))
    except OSError as error:
        raise _make_error(
            file_name, codes.ResultCode.SETTING_FILE, error
        ) from error
    except (ValueError, RecursionError) as error:
        raise _make_error(
            file_name, codes.ResultCode.SETTING_SYNTAX, error
        ) from error
    try:
        pool = msgspec.convert(document, _PoolFile, strict=True)
    except msgspec.ValidationError as error:
        raise _make_error(
            file_name, codes.ResultCode.SETTING_TYPE, error
        ) from error
    rack_names = [rack.rack for rack in pool.racks]
    if len(rack_names) != len(set(rack_names)):
        message = "expected a different name for each rack"
        raise _make_error(file_name, codes.ResultCode.SETTING_RANGE, message)
    return Pool(workers=_expand_workers(pool), runners=_expand_runners(pool))


def _make_error(
    file_name: str, code: codes.ResultCode, detail: object
) -> errors.InvalidInputError:
    message = f"{file_name}: {code.name}: {detail}"
    return errors.InvalidInputError(message, code=code)


def _expand_workers(pool: _PoolFile) -> tuple[messages.ListedTarget, ...]:
    return tuple(
        messages.ListedTarget(
            name=f"{rack.rack}-w{number}",
            address=_PLACEHOLDER_ADDRESS,
            failure_domain=ids.FailureDomainId(rack.failure_domain),
            rack=ids.RackId(rack.rack),
            capacity=jobs.Resources(
                accelerators=rack.accelerators,
                cores=rack.cores,
                memory_gb=rack.memory_gb,
            ),
        )
        for rack in pool.racks
        for number in range(1, rack.workers + 1)
    )


def _expand_runners(pool: _PoolFile) -> tuple[messages.ListedTarget, ...]:
    """Returns the runners of all groups.

    They are numbered across groups, so that names do not repeat if several
    groups belong to one failure domain.
    """
    expanded_groups = itertools.chain.from_iterable(
        itertools.repeat(group, group.runners) for group in pool.runners
    )
    return tuple(
        messages.ListedTarget(
            name=f"{group.failure_domain}-runner{number}",
            address=_PLACEHOLDER_ADDRESS,
            failure_domain=ids.FailureDomainId(group.failure_domain),
            slots=group.slots,
            connections=group.connections,
        )
        for number, group in enumerate(expanded_groups, start=1)
    )
