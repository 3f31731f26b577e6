"""Starts daemons and stand-ins as processes on loopback, for trials.

It is used by scripts outside the daemon only: a daemon starts no process.
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
    """The answer to one HTTP call.

    Attributes:
        status: The HTTP status.
        body: The JSON body.
    """

    status: int
    body: typing.Any


class Vm:
    """One daemon process.

    Attributes:
        name: The VM.
        failure_domain: Where it is.
        caller_address: ``ip:port`` of its HTTP API.
        peer_address: ``ip:port`` of its peer socket.
        process: The process, once started.
    """

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        caller_address: str,
        peer_address: str,
    ) -> None:
        """Initializes a VM whose daemon is not started."""
        self.name = name
        self.failure_domain = failure_domain
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def list_entry(self) -> messages.ListedVm:
        """Its entry in the platform's list."""
        return messages.ListedVm(
            vm=ids.VmId(self.name),
            failure_domain=ids.FailureDomainId(self.failure_domain),
            peer_address=self.peer_address,
        )


class Cluster:
    """The processes of one trial and where they listen.

    Attributes:
        directory: Settings and logs of the processes.
        vms: The daemons.
        log_address: ``ip:port`` of the log service.
        list_address: ``ip:port`` of the platform's list.
        pool: The targets with their addresses.
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
        """Initializes a cluster that is not started."""
        self.directory = directory
        self.vms = vms
        self.log_address = log_address
        self.list_address = list_address
        self.pool = pool
        self._keys = curve_keys.generate_keys()

    def start_standins(self) -> subprocess.Popen[bytes]:
        """Starts the platform and all targets in one process.

        Returns:
            The process.
        """
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
            for name, keys_of in sections.items()
            for line in (f"[{name}]", *_toml_lines(keys_of))
        )

    def _standin_settings(self) -> str:
        head = _toml_lines(
            {
                "log_address": self.log_address,
                "vm_list_address": self.list_address,
            }
        )
        groups = {
            "vms": [vm.list_entry for vm in self.vms],
            "workers": self.pool.workers,
            "runners": self.pool.runners,
        }
        tables = (
            line
            for name, entries in groups.items()
            for entry in entries
            for line in (
                f"[[{name}]]",
                *_toml_lines(msgspec.to_builtins(entry)),
            )
        )
        return "\n".join((*head, *tables))


@contextlib.contextmanager
def open_cluster(
    pool: pool_file.Pool, vms_per_domain: int = 2
) -> Iterator[Cluster]:
    """Runs stand-ins and daemons; everything is stopped at the end.

    Args:
        pool: The targets; their addresses are replaced.
        vms_per_domain: Daemons in each failure domain.

    Yields:
        The cluster with all processes started and all APIs answering.
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
    """Sends one HTTP call and reads its JSON answer.

    Args:
        address: ``ip:port`` of the server.
        method: The HTTP method.
        path: Path and query.
        body: The body.

    Returns:
        The answer.

    Raises:
        OSError: The server does not answer.
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
    """Asks a process to stop and kills it if it does not.

    Args:
        process: A process started here.

    Returns:
        Its exit status.
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
    """Yields loopback addresses below the range of ephemeral ports."""
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
    """Returns a value as TOML, whose strings are those of JSON."""
    if isinstance(value, dict):
        inner = ", ".join(f"{name} = {_toml(v)}" for name, v in value.items())
        return f"{{{inner}}}"
    return json.dumps(value)
