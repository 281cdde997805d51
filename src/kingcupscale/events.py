"""Numbered log events, written through eliot.

No field may hold a key, a prompt or an answer. docs/EVENTS.md is the
catalogue.
"""

import enum
from typing import Any

import eliot


@enum.unique
class Event(enum.Enum):
    """Every event the product logs, as (number, summary)."""

    NODE_STARTED = (2001, "A node is up and has its listeners.")
    NODE_DRAINING = (2002, "A node takes no new work.")
    NODE_STOPPED = (2003, "A node has ended in order.")
    MEMBER_CHANGED = (2101, "A member became alive, suspect, dead or left.")
    ADMISSION_CHANGED = (2102, "The node started or stopped admitting.")
    CONFIGURATION_APPLIED = (2201, "A configuration revision is in force.")
    CONFIGURATION_CHANGED = (2202, "An operator's change was accepted.")
    KEY_WITHDRAWN_EMERGENCY = (2203, "A key was withdrawn without the store.")
    STORE_FAILED = (2204, "A call to the key-value service failed.")
    LEASE_ACQUIRED = (2301, "The node holds a duty's lease.")
    LEASE_LOST = (2302, "The node no longer holds a duty's lease.")
    ORDER_INTENDED = (2303, "Orders were written to the journal.")
    ORDER_SETTLED = (2304, "An order's outcome was recorded.")
    ORDER_RECONCILED = (2305, "A new holder settled an older holder's order.")
    USAGE_REPORTED = (2401, "A usage window was taken by the intake.")
    USAGE_FAILED = (2402, "A usage window could not be sent yet.")
    SERVER_EJECTED = (2501, "A backend server gets no work for a while.")
    ANSWER_REJECTED = (2502, "An answer was not whole or not ours.")
    REQUEST_FAILED = (2503, "A request ended with an internal error.")
    STEP_OPENED = (2601, "A rollout step was opened.")
    STEP_ENDED = (2602, "A rollout step is complete, cancelled or expired.")
    SAMPLE_RESTARTED = (2603, "A sample was dropped and started again.")
    WEIGHTS_PUBLISHED = (2604, "A trainer published a weight version.")
    WEIGHTS_ACTIVATED = (2605, "A zone's engines run a weight version.")

    def __init__(self, number: int, summary: str) -> None:
        self.number = number
        self.summary = summary


def log(event: Event, **fields: Any) -> None:
    """Writes one event.

    Args:
        event: The numbered event.
        **fields: Plain values; never keys, prompts or answers.
    """
    eliot.log_message(
        message_type=f"kingcupscale:{event.name.lower()}",
        event=event.number,
        **fields,
    )
