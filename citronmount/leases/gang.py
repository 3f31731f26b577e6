"""State machine of one attempt to run a gang on several workers."""

import enum
from typing import Protocol

import automat

__all__ = ["Gang", "GangPhase", "new_gang"]


class GangPhase(enum.Enum):
    """The phases of an attempt, from its reservations to its end."""

    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class GangState:
    """The data that the transitions of the machine change.

    Attributes:
        phase: The current phase.
        may_have_run: Whether a start was ever sent to any member.
    """

    def __init__(self) -> None:
        """Initializes the state of an attempt that has just been placed."""
        self.phase = GangPhase.RESERVING
        self.may_have_run = False


class Gang(Protocol):
    """The inputs of the machine.

    Each returns whether the input has caused a transition. An input that the
    current phase does not allow is ignored.
    """

    def all_reserved(self) -> bool:
        """Every member holds its reservation, and starts are sent."""

    def all_started(self) -> bool:
        """Every member has confirmed its start."""

    def all_finished(self) -> bool:
        """Every member has finished successfully on its own."""

    def abort(self) -> bool:
        """The attempt must stop before all members have finished."""

    def all_stopped(self) -> bool:
        """No member can run any more."""


def _build():
    builder = automat.TypeMachineBuilder(Gang, GangState)
    reserving = builder.state("reserving")
    starting = builder.state("starting")
    running = builder.state("running")
    stopping = builder.state("stopping")
    ended = builder.state("ended")

    def add_transition(source, trigger, target, phase):
        @source.upon(trigger).to(target)
        def _transition(gang: Gang, gang_state: GangState) -> bool:
            gang_state.phase = phase
            if phase is GangPhase.STARTING:
                gang_state.may_have_run = True
            return True

    def ignore(source, *triggers):
        for trigger in triggers:
            source.upon(trigger).loop().returns(False)

    add_transition(reserving, Gang.all_reserved, starting, GangPhase.STARTING)
    add_transition(starting, Gang.all_started, running, GangPhase.RUNNING)
    for source in (starting, running):
        add_transition(source, Gang.all_finished, ended, GangPhase.ENDED)
    for source in (reserving, starting, running):
        add_transition(source, Gang.abort, stopping, GangPhase.STOPPING)
    add_transition(stopping, Gang.all_stopped, ended, GangPhase.ENDED)
    ignore(reserving, Gang.all_started, Gang.all_finished, Gang.all_stopped)
    ignore(starting, Gang.all_reserved, Gang.all_stopped)
    ignore(running, Gang.all_reserved, Gang.all_started, Gang.all_stopped)
    outdated = (Gang.all_reserved, Gang.all_started, Gang.all_finished)
    ignore(stopping, Gang.abort, *outdated)
    ignore(ended, Gang.abort, Gang.all_stopped, *outdated)
    return builder.build()


_FACTORY = _build()


def new_gang() -> tuple[Gang, GangState]:
    """Returns a machine in the reserving phase.

    Returns:
        The inputs of the machine and the state that its transitions change.

    Example:
        >>> gang, state = new_gang()
        >>> gang.all_started(), gang.all_reserved(), state.phase.value
        (False, True, 'starting')

    Notes:
        The protocol is two-phase commit with presumed abort (Mohan, Lindsay
        and Obermarck, ACM TODS 1986): reservations are the votes, and they
        lapse by themselves.
    """
    state = GangState()
    return _FACTORY(state), state
