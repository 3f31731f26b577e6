"""Runs daemons and stand-ins as processes on loopback.

Only test and benchmark scripts use it: a daemon never starts a process.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import typing

import msgspec

from citronmount.clients import messages
from citronmount.config import pool_file
from citronmount.core import ids
from citronmount.peers import curve_keys

__all__ = ["Answer", "Cluster", "Vm", "call", "open_cluster"]

FIRST_PORT = 20_000
LAST_PORT = 32_000
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_PERIOD_S = 0.1
CALL_TIMEOUT_S = 90.0

_HOST = "127.0.0.1"


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an HTTP call.

    Attributes:
        status: HTTP status code.
        body: Decoded JSON body, or None if the body is empty.
    """

    status: int
    body: typing.Any


class Vm:
    """A VM with its daemon process.

    Attributes:
        name: Name of the VM.
        failure_domain: Failure domain of the VM.
        caller_address: ``ip:port`` of the HTTP API.
        peer_address: ``ip:port`` of the peer socket.
        process: The daemon process; None before it is started.
    """

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        caller_address: str,
        peer_address: str,
    ) -> None:
        """Initializes a VM without starting its daemon."""
        self.name = name
        self.failure_domain = failure_domain
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def list_entry(self) -> messages.ListedVm:
        """Entry of the VM in the platform's list."""
        return messages.ListedVm(
            vm=ids.VmId(self.name),
            failure_domain=ids.FailureDomainId(self.failure_domain),
            peer_address=self.peer_address,
        )


class Cluster:
    """Daemons and stand-ins with their addresses.

    Attributes:
        directory: Directory of the settings and output of the processes.
        vms: The VMs that run daemons.
        log_address: ``ip:port`` of the log service.
        list_address: ``ip:port`` of the platform's list.
        pool: The workers and runners with their addresses.
    """

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        vms: tuple[Vm, ...],
        log_address: str,
        list_address: str,
        pool: pool_file.Pool,
    ) -> None:
        """Initializes a cluster without starting its processes."""
        self.directory = directory
        self.vms = vms
        self.log_address = log_address
        self.list_address = list_address
        self.pool = pool
        self._keys = curve_keys.generate_keys()

    def start_standins(self) -> subprocess.Popen[bytes]:
        """Starts one process that serves the platform and all targets."""
        path = self.directory / "standins.toml"
        path.write_text(self._standin_settings(), encoding="utf-8")
        return self._start("standins", "citronmount.standins", str(path))

    def start_vm(self, vm: Vm) -> None:
        """Starts the daemon of a VM.

        Args:
            vm: The VM.
        """
        path = self.directory / f"{vm.name}.toml"
        path.write_text(self._vm_settings(vm), encoding="utf-8")
        vm.process = self._start(
            vm.name, "citronmount.service", "--settings", str(path)
        )

    def _start(self, name: str, *command: str) -> subprocess.Popen[bytes]:
        with (self.directory / f"{name}.out").open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def _vm_settings(self, vm: Vm) -> str:
        keys = self._keys
        sections = {
            "vm": {
                "id": vm.name,
                "failure_domain": vm.failure_domain,
                "region": "loopback",
            },
            "listen": {
                "caller_address": vm.caller_address,
                "peer_address": vm.peer_address,
            },
            "platform": {
                "log_address": self.log_address,
                "vm_list_address": self.list_address,
            },
            "curve": {
                "public_key": keys.public_key,
                "secret_key": keys.secret_key,
                "allowed_public_keys": [keys.public_key],
            },
            "limits": {
                "requests_per_second_per_account": 100_000.0,
                "burst_requests_per_account": 100_000,
            },
        }
        return "\n".join(
            line
            for name, settings in sections.items()
            for line in (f"[{name}]", *_toml_lines(settings))
        )

    def _standin_settings(self) -> str:
        address_lines = _toml_lines(
            {
                "log_address": self.log_address,
                "vm_list_address": self.list_address,
            }
        )
        entries_by_table = {
            "vms": [vm.list_entry for vm in self.vms],
            "workers": self.pool.workers,
            "runners": self.pool.runners,
        }
        table_lines = (
            line
            for name, entries in entries_by_table.items()
            for entry in entries
            for line in (
                f"[[{name}]]",
                *_toml_lines(msgspec.to_builtins(entry)),
            )
        )
        return "\n".join((*address_lines, *table_lines))


@contextlib.contextmanager
def open_cluster(
    pool: pool_file.Pool, vms_per_domain: int = 2
) -> Iterator[Cluster]:
    """Runs stand-ins and daemons and stops them on exit.

    Args:
        pool: The targets; their addresses are replaced by free ones.
        vms_per_domain: Number of daemons in each failure domain.

    Yields:
        The cluster, once the HTTP API of every daemon accepts connections.
    """
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        cluster = _make_cluster(pathlib.Path(directory), pool, vms_per_domain)
        standins = cluster.start_standins()
        stack.callback(stop_process, standins)
        _wait_for_port(cluster.list_address)
        for vm in cluster.vms:
            cluster.start_vm(vm)
            stack.callback(_kill_vm, vm)
        for vm in cluster.vms:
            _wait_for_port(vm.caller_address)
        yield cluster


def call(
    address: str, method: str, path: str, body: bytes | None = None
) -> Answer:
    """Sends an HTTP call and decodes its JSON answer.

    Args:
        address: ``ip:port`` of the server.
        method: HTTP method.
        path: Path and query of the URL.
        body: Request body.

    Returns:
        The answer.

    Raises:
        OSError: No connection, or no answer within `CALL_TIMEOUT_S`.
    """
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
    return Answer(
        status=response.status, body=json.loads(data) if data else None
    )


def stop_process(process: subprocess.Popen[bytes]) -> int:
    """Terminates a process; kills it if it outlives `STOP_TIMEOUT_S`.

    Args:
        process: The process.

    Returns:
        Exit status of the process.
    """
    process.terminate()
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def _kill_vm(vm: Vm) -> None:
    if vm.process is not None and vm.process.poll() is None:
        vm.process.kill()
        vm.process.wait()


def _make_cluster(
    directory: pathlib.Path, pool: pool_file.Pool, vms_per_domain: int
) -> Cluster:
    addresses = _free_addresses()
    domains = sorted({worker.failure_domain for worker in pool.workers})
    vms = tuple(
        Vm(
            name=f"{domain}-{number}",
            failure_domain=domain,
            caller_address=next(addresses),
            peer_address=next(addresses),
        )
        for domain, number in itertools.product(
            domains, range(1, vms_per_domain + 1)
        )
    )
    return Cluster(
        directory=directory,
        vms=vms,
        log_address=next(addresses),
        list_address=next(addresses),
        pool=pool_file.Pool(
            workers=_with_addresses(pool.workers, addresses),
            runners=_with_addresses(pool.runners, addresses),
        ),
    )


def _with_addresses(
    targets: Iterable[messages.ListedTarget], addresses: Iterator[str]
) -> tuple[messages.ListedTarget, ...]:
    return tuple(
        msgspec.structs.replace(target, address=next(addresses))
        for target in targets
    )


def _free_addresses() -> Iterator[str]:
    """Yields free loopback addresses below the range of ephemeral ports.

    The start depends on the process id, so that clusters of different
    processes rarely try the same ports.
    """
    count = LAST_PORT - FIRST_PORT
    start = (os.getpid() * 97) % count
    ports = (FIRST_PORT + (start + i) % count for i in range(count))
    return (f"{_HOST}:{port}" for port in ports if _is_free(port))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True


def _wait_for_port(address: str) -> None:
    host, _, port = address.rpartition(":")
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                return
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"nothing listens at {address}")
        time.sleep(POLL_PERIOD_S)


def _toml_lines(values: dict[str, typing.Any]) -> list[str]:
    return [f"{name} = {_toml(value)}" for name, value in values.items()]


def _toml(value: typing.Any) -> str:
    """Formats a value as TOML; strings are formatted as in JSON."""
    if isinstance(value, dict):
        items = ", ".join(f"{name} = {_toml(v)}" for name, v in value.items())
        return f"{{{items}}}"
    return json.dumps(value)
