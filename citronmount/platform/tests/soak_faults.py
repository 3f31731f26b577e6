"""The faults that a soak injects, each for some time and often at one VM."""

import signal
import typing

from citronmount.platform.tests import loopback_site
from citronmount.standins import pool_worker

if typing.TYPE_CHECKING:
    from citronmount.platform.tests import soak


async def kill(soak: "soak.Soak", number: int, time_s: float) -> None:
    soak.processes[number].kill()
    await restart_after(soak, number, time_s)


async def stop(soak: "soak.Soak", number: int, time_s: float) -> None:
    soak.processes[number].terminate()
    await restart_after(soak, number, time_s + 3.0)


async def restart_after(soak: "soak.Soak", number: int, time_s: float) -> None:
    await loopback_site.sleep(time_s)
    if soak.processes[number].poll() is not None and not soak.healing:
        soak.start(number)


async def freeze(soak: "soak.Soak", number: int, time_s: float) -> None:
    process = soak.processes[number]
    process.send_signal(signal.SIGSTOP)
    await loopback_site.sleep(time_s)
    process.send_signal(signal.SIGCONT)


async def silence(soak: "soak.Soak", number: int, time_s: float) -> None:
    proxy = soak.proxies[number]
    proxy.drops_requests = soak.rng.random() < 0.7
    proxy.drops_responses = not proxy.drops_requests or soak.rng.random() < 0.5
    await loopback_site.sleep(time_s)
    proxy.heal()


async def delay(soak: "soak.Soak", number: int, time_s: float) -> None:
    soak.proxies[number].delay_s = loopback_site.draw(soak.rng, 0.05, 0.6)
    await loopback_site.sleep(time_s)
    soak.proxies[number].heal()


async def reset(soak: "soak.Soak", number: int, time_s: float) -> None:
    soak.proxies[number].reset()


async def outage(soak: "soak.Soak", number: int, time_s: float) -> None:
    for proxy in soak.proxies:
        proxy.drops_requests = True
    await loopback_site.sleep(time_s)
    for proxy in soak.proxies:
        proxy.heal()


async def quiet_worker(soak: "soak.Soak", number: int, time_s: float) -> None:
    worker = soak.rng.choice(list(soak.pool.workers.values()))
    faults = (pool_worker.WorkerFault.SILENT, pool_worker.WorkerFault.LATE)
    worker.fault = soak.rng.choice(faults)
    worker.start_delay_s = time_s
    await loopback_site.sleep(time_s)
    worker.fault = pool_worker.WorkerFault.NONE


FAULTS = (kill, stop, freeze, silence, delay, reset, outage, quiet_worker)
