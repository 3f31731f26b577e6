"""In-memory stand-in for the platform's list of VMs and targets."""

import msgspec

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import states

__all__ = ["PlatformModel"]


class PlatformModel:
    """List of VMs and targets in which every change appears after a lag."""

    def __init__(
        self,
        *,
        lag_ms: int = 0,
        view: messages.PlatformView | None = None,
    ) -> None:
        """Initializes the list.

        Args:
            lag_ms: Time until a change appears.
            view: Initial list; None for an empty one.
        """
        self.lag_ms = lag_ms
        self._history = [(0, view or messages.PlatformView())]

    def view(self, now_ms: int) -> messages.PlatformView:
        """Returns the list that the platform shows, which lags.

        Args:
            now_ms: Current time of the service.

        Returns:
            The list as it was `lag_ms` ago, or the initial list if that is
            before the first change.
        """
        shown_ms = now_ms - self.lag_ms
        return next(
            (
                view
                for since_ms, view in reversed(self._history)
                if since_ms <= shown_ms
            ),
            self._history[0][1],
        )

    def latest(self) -> messages.PlatformView:
        """Returns the list including changes that do not appear yet."""
        return self._history[-1][1]

    def set_vm(self, vm: messages.ListedVm, now_ms: int) -> None:
        """Adds a VM or replaces its entry.

        Args:
            vm: The new entry.
            now_ms: Time of the change.
        """
        others = tuple(v for v in self.latest().vms if v.vm != vm.vm)
        self._record_change(now_ms, vms=(*others, vm))

    def remove_vm(self, vm: ids.VmId, now_ms: int) -> None:
        """Removes a VM.

        Args:
            vm: The VM.
            now_ms: Time of the change.
        """
        remaining = tuple(v for v in self.latest().vms if v.vm != vm)
        self._record_change(now_ms, vms=remaining)

    def set_worker(self, worker: messages.ListedTarget, now_ms: int) -> None:
        """Adds a worker or replaces its entry.

        Args:
            worker: The new entry.
            now_ms: Time of the change.
        """
        workers = _with_target(self.latest().workers, worker)
        self._record_change(now_ms, workers=workers)

    def set_runner(self, runner: messages.ListedTarget, now_ms: int) -> None:
        """Adds a runner or replaces its entry.

        Args:
            runner: The new entry.
            now_ms: Time of the change.
        """
        runners = _with_target(self.latest().runners, runner)
        self._record_change(now_ms, runners=runners)

    def remove_target(self, name: str, now_ms: int) -> None:
        """Removes a worker or runner.

        Args:
            name: Id of the worker or runner.
            now_ms: Time of the change.
        """
        latest = self.latest()
        self._record_change(
            now_ms,
            workers=tuple(t for t in latest.workers if t.name != name),
            runners=tuple(t for t in latest.runners if t.name != name),
        )

    def set_target_state(
        self, name: str, state: states.TargetState, now_ms: int
    ) -> None:
        """Changes the state of a worker or runner.

        Args:
            name: Id of the worker or runner.
            state: The new state.
            now_ms: Time of the change.
        """
        latest = self.latest()
        self._record_change(
            now_ms,
            workers=_with_state(latest.workers, name, state),
            runners=_with_state(latest.runners, name, state),
        )

    def _record_change(self, now_ms: int, **fields: object) -> None:
        view = msgspec.structs.replace(self.latest(), **fields)
        self._history.append((now_ms, view))


def _with_target(
    targets: tuple[messages.ListedTarget, ...], target: messages.ListedTarget
) -> tuple[messages.ListedTarget, ...]:
    return (*(t for t in targets if t.name != target.name), target)


def _with_state(
    targets: tuple[messages.ListedTarget, ...],
    name: str,
    state: states.TargetState,
) -> tuple[messages.ListedTarget, ...]:
    return tuple(
        msgspec.structs.replace(t, state=state) if t.name == name else t
        for t in targets
    )
