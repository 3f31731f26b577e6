"""Warnings on valid content of a sheet that is probably a mistake."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools

from citronmount.config import configuration as configuration_lib
from citronmount.core import states

__all__ = ["warnings"]

_Check = Callable[[configuration_lib.Configuration], Iterator[str]]

_CHECKS: list[_Check] = []


def _register_check(check: _Check) -> _Check:
    """Registers a function that yields warnings."""
    _CHECKS.append(check)
    return check


def warnings(
    configuration: configuration_lib.Configuration,
) -> tuple[str, ...]:
    """Returns what an operator should review before publishing a sheet.

    Args:
        configuration: The content of a valid sheet.

    Returns:
        One line of text for each warning.
    """
    results = (check(configuration) for check in _CHECKS)
    return tuple(itertools.chain.from_iterable(results))


@_register_check
def _check_domains_in_service(
    configuration: configuration_lib.Configuration,
) -> Iterator[str]:
    if not any(
        domain.state is states.FailureDomainState.IN
        for domain in configuration.failure_domains
    ):
        yield "no failure domain is in service, so no task can start"


@_register_check
def _check_trial_allowances(
    configuration: configuration_lib.Configuration,
) -> Iterator[str]:
    accounts_with_allowance = {
        allowance.account
        for allowance in configuration.allowances
        if allowance.accelerators
    }
    for account in configuration.accounts:
        is_trial = account.account_class is states.AccountClass.TRIAL
        if is_trial and account.name not in accounts_with_allowance:
            yield (
                f"{account.name}: a trial account cannot run jobs without an "
                "allowance above 0"
            )


@_register_check
def _check_guarantees_in_service(
    configuration: configuration_lib.Configuration,
) -> Iterator[str]:
    out_of_service = {
        domain.name
        for domain in configuration.failure_domains
        if domain.state is states.FailureDomainState.OUT
    }
    for guarantee in configuration.guarantees:
        if guarantee.failure_domain in out_of_service:
            yield (
                f"{guarantee.account}: a guarantee requires "
                f"{guarantee.failure_domain}, which is out of service"
            )
