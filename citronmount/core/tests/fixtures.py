"""Small pools, configurations and jobs for tests of the core."""

from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.services import messages

ZONE = ids.FailureDomainId("kr-a")


def worker(number, *, accelerators=8, rack=None, zone=ZONE, per_rack=4):
    """Returns one listed worker."""
    return messages.ListedTarget(
        name=f"{zone}-w{number}",
        address="127.0.0.1:1",
        failure_domain=zone,
        rack=ids.RackId(rack or f"{zone}-r{number // per_rack}"),
        capacity=needs(accelerators),
    )


def needs(accelerators, cores=None, memory_gb=None):
    """Returns resources with cores and memory in proportion."""
    return jobs.Resources(
        accelerators=accelerators,
        cores=8 * accelerators if cores is None else cores,
        memory_gb=16 * accelerators if memory_gb is None else memory_gb,
    )


def guarantee(
    account, copies, tasks, accelerators, adjacency="worker", zone=ZONE
):
    """Returns a guarantee row."""
    return configuration_lib.Guarantee(
        account=account,
        failure_domain=zone,
        copies=copies,
        tasks=tasks,
        per_task=needs(accelerators),
        adjacency=states.Adjacency(adjacency),
    )


def configuration(
    *, guarantees=(), paying=(), allowances=None, zones=(ZONE,), out=()
):
    """Returns a configuration; accounts come from its parts."""
    allowances = allowances or {}
    names = sorted({*paying, *(g.account for g in guarantees), *allowances})
    return configuration_lib.Configuration(
        version=ids.Version(1),
        failure_domains=tuple(
            configuration_lib.FailureDomain(
                name=zone,
                state=states.FailureDomainState("out" if zone in out else "in"),
            )
            for zone in zones
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
    """Returns a job."""
    return jobs.JobSpec(
        job=ids.job_id(ZONE, name),
        account=account,
        tasks=tasks,
        per_task=needs(accelerators),
        adjacency=states.Adjacency(adjacency),
        **more,
    )
