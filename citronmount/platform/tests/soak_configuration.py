"""Publishes large configurations during a soak and checks that they are used.

Each version adds a route of its own, so a call to that route shows whether a
VM handles it by this version or a newer one.
"""

import random

import msgspec
from twisted.internet import reactor

from citronmount.clients import http_client
from citronmount.fleet_service import ports
from citronmount.platform.tests import loopback_site
from citronmount.standins import pool_log

LINK_BYTES_PER_S = 350_000
IDLE_ROUTES = 2_500
PERIOD_S = (1.0, 2.5)
# Fewer faults leave more VMs calm.
FAULT_GAP_S = (2.0, 5.0)
# A VM without a fault for `CALM_S` handles calls by a version that was
# published `BOUND_S` before.
CALM_S = 4.0
BOUND_S = 3.0
CALL_TIMEOUT_MS = 1_000
HEADERS = {"X-Api-Key": "key"}


def make_route(name: str) -> dict[str, object]:
    return {
        "name": name,
        "host": "",
        "path_prefix": f"/{name}/",
        "backend": "s",
        "priority": 1,
        "max_attempts": 3,
        "slack_factor": 3.0,
    }


class FaultTimes:
    """When each VM was last affected by a fault."""

    def __init__(self, vm_count: int) -> None:
        self.open_faults = [0] * vm_count
        self.last_end_s = [reactor.seconds()] * vm_count

    def begin(self, vms: list[int]) -> None:
        for vm in vms:
            self.open_faults[vm] += 1

    def end(self, vms: list[int]) -> None:
        for vm in vms:
            self.open_faults[vm] -= 1
            self.last_end_s[vm] = reactor.seconds()

    def is_calm(self, vm: int) -> bool:
        calm_s = reactor.seconds() - self.last_end_s[vm]
        return not self.open_faults[vm] and calm_s > CALM_S


class ConfigurationSoak:
    """The versions of one run.

    Attributes:
        versions: Number of versions published.
        checks: Number of calls that a VM answered.
        violations: The calls that were handled by an old version.
    """

    def __init__(
        self,
        *,
        seed: int,
        log: pool_log.PoolLog,
        http: http_client.HttpClient,
        addresses: list[str],
        base: dict[str, list[object]],
    ) -> None:
        self.rng = random.Random(f"configuration-{seed}")
        self.log = log
        self.http = http
        self.addresses = addresses
        self.tenants = base["tenants"]
        self.routes = [*base["routes"]]
        self.routes += [make_route(f"idle-{n}") for n in range(IDLE_ROUTES)]
        self.fault_times = FaultTimes(len(addresses))
        self.versions = 0
        self.checks = 0
        self.violations: list[str] = []

    async def run(self, duration_s: float) -> None:
        end_s = reactor.seconds() + duration_s
        while reactor.seconds() < end_s:
            self.publish()
            reactor.callLater(BOUND_S, self.check_all, self.versions)
            await loopback_site.sleep(loopback_site.draw(self.rng, *PERIOD_S))
        await loopback_site.sleep(BOUND_S + CALL_TIMEOUT_MS / 1_000)

    def publish(self) -> None:
        self.versions += 1
        self.routes.append(make_route(f"version-{self.versions}"))
        content = {
            "version": self.versions + 1,
            "routes": self.routes,
            "tenants": self.tenants,
        }
        record = ("config", msgspec.json.encode(content))
        self.log.append_records(ports.Topic.CONFIGURATION, [record])

    def check_all(self, version: int) -> None:
        for vm, address in enumerate(self.addresses):
            if self.fault_times.is_calm(vm):
                call = self.http.call(
                    "GET",
                    address,
                    f"/version-{version}/",
                    CALL_TIMEOUT_MS,
                    headers=HEADERS,
                )
                call.addCallback(self.check, vm, version)
                call.addErrback(lambda reason: None)

    def check(
        self, response: http_client.HttpResponse, vm: int, version: int
    ) -> None:
        self.checks += 1
        if response.status == 404:
            self.violations.append(f"CONFIG: vm-{vm} lacks version {version}")
