"""Content of a sheet that is valid but hardly meant."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools

from citronmount.config import configuration as configuration_lib
from citronmount.core import states

__all__ = ["warnings"]

_Check = Callable[[configuration_lib.Configuration], Iterator[str]]

_CHECKS: list[_Check] = []


def _check(check: _Check) -> _Check:
    """Registers a check."""
    _CHECKS.append(check)
    return check


def warnings(
    configuration: configuration_lib.Configuration,
) -> tuple[str, ...]:
    """Returns what an operator should look at before publishing.

    Args:
        configuration: The content of a valid sheet.

    Returns:
        One line for each warning.
    """
    found = (check(configuration) for check in _CHECKS)
    return tuple(itertools.chain.from_iterable(found))


@_check
def _nothing_in_service(
    configuration: configuration_lib.Configuration,
) -> Iterator[str]:
    if not any(
        domain.state is states.FailureDomainState.IN
        for domain in configuration.failure_domains
    ):
        yield "no failure domain is in service, nothing can start"


@_check
def _trial_without_allowance(
    configuration: configuration_lib.Configuration,
) -> Iterator[str]:
    allowed = {
        allowance.account
        for allowance in configuration.allowances
        if allowance.accelerators
    }
    for account in configuration.accounts:
        trial = account.account_class is states.AccountClass.TRIAL
        if trial and account.name not in allowed:
            yield f"{account.name}: a trial without allowance can run no job"


@_check
def _guarantee_out_of_service(
    configuration: configuration_lib.Configuration,
) -> Iterator[str]:
    out = {
        domain.name
        for domain in configuration.failure_domains
        if domain.state is states.FailureDomainState.OUT
    }
    for guarantee in configuration.guarantees:
        if guarantee.failure_domain in out:
            yield (
                f"{guarantee.account}: a guarantee is tied to "
                f"{guarantee.failure_domain}, which is out of service"
            )
