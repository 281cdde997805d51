"""Faults, and the plan of where they strike."""

import enum

import attrs

# Caller, operation, and how many such calls came before.
Place = tuple[str, str, int]


class Fault(enum.Enum):
    """What can happen to one call between two processes."""

    ERROR_BEFORE = "error_before"
    ANSWER_LOST = "answer_lost"
    REQUEST_LATE = "request_late"
    ANSWER_LATE = "answer_late"
    ANSWER_CROSSED = "answer_crossed"
    ANSWER_CUT = "answer_cut"
    CALLER_PAUSED = "caller_paused"
    CALLER_PAUSED_SENDING = "caller_paused_sending"
    CALLER_CRASHED = "caller_crashed"
    TARGET_CRASHED = "target_crashed"
    STORE_DOWN = "store_down"
    CALLER_CUT_OFF = "caller_cut_off"


@attrs.frozen
class Step:
    """One call as it was made.

    Attributes:
        number: Counted from 0 in the order of the session.
        caller: Process that called.
        target: Process or address that was called.
        operation: What was called.
    """

    number: int
    caller: str
    target: str
    operation: str


class FaultPlan:
    """Strikes chosen calls and records all.

    A place is (caller, operation, how many such calls came before), which
    names the same call in every run up to the first fault.

    Args:
        faults: The fault by place.

    Attributes:
        steps: All calls so far.
        struck: The places at which a fault took place.
    """

    def __init__(self, faults: dict[Place, Fault] | None = None) -> None:
        self.faults = faults or {}
        self.steps: list[Step] = []
        self.struck: list[Place] = []
        self.seen: dict[tuple[str, str], int] = {}

    def begin(self, caller: str, target: str, operation: str) -> Fault | None:
        """Records a call and returns the fault that strikes it, if any."""
        self.steps.append(Step(len(self.steps), caller, target, operation))
        count = self.seen.get((caller, operation), 0)
        self.seen[caller, operation] = count + 1
        place = (caller, operation, count)
        fault = self.faults.get(place)
        if fault is not None:
            self.struck.append(place)
        return fault
