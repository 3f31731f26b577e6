"""Builders of small pools, configurations and jobs for tests."""

from citronmount.clients import messages
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

FAILURE_DOMAIN = ids.FailureDomainId("kr-a")


def worker(
    number,
    *,
    accelerators=8,
    rack=None,
    failure_domain=FAILURE_DOMAIN,
    per_rack=4,
):
    """Returns a worker as listed by the platform."""
    return messages.ListedTarget(
        name=f"{failure_domain}-w{number}",
        address="127.0.0.1:1",
        failure_domain=failure_domain,
        rack=ids.RackId(rack or f"{failure_domain}-r{number // per_rack}"),
        capacity=resource_amounts(accelerators),
    )


def resource_amounts(accelerators, cores=None, memory_gb=None):
    """Returns resources; cores and memory default to a fixed ratio."""
    return jobs.Resources(
        accelerators=accelerators,
        cores=8 * accelerators if cores is None else cores,
        memory_gb=16 * accelerators if memory_gb is None else memory_gb,
    )


def guarantee(
    account,
    copies,
    tasks,
    accelerators,
    adjacency="worker",
    failure_domain=FAILURE_DOMAIN,
):
    """Returns a guarantee of a configuration."""
    return configuration_lib.Guarantee(
        account=account,
        failure_domain=failure_domain,
        copies=copies,
        tasks=tasks,
        per_task=resource_amounts(accelerators),
        adjacency=states.Adjacency(adjacency),
    )


def configuration(
    *,
    guarantees=(),
    paying=(),
    allowances=None,
    failure_domains=(FAILURE_DOMAIN,),
    out=(),
):
    """Returns a configuration with every account that its parts name."""
    allowances = allowances or {}
    names = sorted({*paying, *(g.account for g in guarantees), *allowances})
    return configuration_lib.Configuration(
        version=ids.Version(1),
        failure_domains=tuple(
            configuration_lib.FailureDomain(
                name=failure_domain,
                state=states.FailureDomainState(
                    "out" if failure_domain in out else "in"
                ),
            )
            for failure_domain in failure_domains
        ),
        accounts=tuple(
            configuration_lib.Account(
                name=name,
                account_class=states.AccountClass(
                    "trial" if name in allowances else "paying"
                ),
            )
            for name in names
        ),
        guarantees=tuple(guarantees),
        allowances=tuple(
            configuration_lib.Allowance(account=a, accelerators=n)
            for a, n in sorted(allowances.items())
        ),
    )


def spec(name, account, tasks=1, accelerators=1, adjacency="worker", **more):
    """Returns the specification of a job."""
    return jobs.JobSpec(
        job=ids.job_id(FAILURE_DOMAIN, name),
        account=account,
        tasks=tasks,
        per_task=resource_amounts(accelerators),
        adjacency=states.Adjacency(adjacency),
        **more,
    )
