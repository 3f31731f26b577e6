"""State machine of one attempt to run a gang at several workers."""

import enum
from typing import Protocol

import automat

__all__ = ["Gang", "GangPhase", "new_gang"]


class GangPhase(enum.Enum):
    """Where an attempt is between its reservation and its end."""

    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class GangCore:
    """What the transitions of the machine act on.

    Attributes:
        phase: The present phase.
        may_have_run: Whether a start was ever sent to any member.
    """

    def __init__(self) -> None:
        """Initializes an attempt that has just been placed."""
        self.phase = GangPhase.RESERVING
        self.may_have_run = False


class Gang(Protocol):
    """Inputs of the machine.

    Each returns whether the input has moved the machine.
    """

    def all_reserved(self) -> bool:
        """Every member holds its reservation; starts go out now."""

    def all_started(self) -> bool:
        """Every member has confirmed its start."""

    def all_finished(self) -> bool:
        """Every member has finished by itself with success."""

    def abort(self) -> bool:
        """The attempt must end before all members have finished."""

    def all_stopped(self) -> bool:
        """No member can run any more."""


def _build():
    builder = automat.TypeMachineBuilder(Gang, GangCore)
    reserving = builder.state("reserving")
    starting = builder.state("starting")
    running = builder.state("running")
    stopping = builder.state("stopping")
    ended = builder.state("ended")

    def move(source, given, target, phase):
        @source.upon(given).to(target)
        def _moved(gang: Gang, core: GangCore) -> bool:
            core.phase = phase
            if phase is GangPhase.STARTING:
                core.may_have_run = True
            return True

    def ignore(source, *given):
        for each in given:
            source.upon(each).loop().returns(False)

    move(reserving, Gang.all_reserved, starting, GangPhase.STARTING)
    move(starting, Gang.all_started, running, GangPhase.RUNNING)
    for source in (starting, running):
        move(source, Gang.all_finished, ended, GangPhase.ENDED)
    for source in (reserving, starting, running):
        move(source, Gang.abort, stopping, GangPhase.STOPPING)
    move(stopping, Gang.all_stopped, ended, GangPhase.ENDED)
    ignore(reserving, Gang.all_started, Gang.all_finished, Gang.all_stopped)
    ignore(starting, Gang.all_reserved, Gang.all_stopped)
    ignore(running, Gang.all_reserved, Gang.all_started, Gang.all_stopped)
    late = (Gang.all_reserved, Gang.all_started, Gang.all_finished)
    ignore(stopping, Gang.abort, *late)
    ignore(ended, Gang.abort, Gang.all_stopped, *late)
    return builder.build()


_FACTORY = _build()


def new_gang() -> tuple[Gang, GangCore]:
    """Returns a machine in its first phase.

    Returns:
        The machine's inputs and the core that shows its phase.

    Example:
        >>> gang, core = new_gang()
        >>> gang.all_started(), gang.all_reserved(), core.phase.value
        (False, True, 'starting')

    Notes:
        Two-phase commit with presumed abort (Mohan, Lindsay and Obermarck,
        ACM TODS 1986): reservations are the votes and lapse by themselves.
    """
    core = GangCore()
    return _FACTORY(core), core
