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
    SETTINGS_RELOADED = (2004, "The settings file was read again.")
    MEMBER_CHANGED = (2101, "A member became alive, suspect, dead or left.")
    PEER_SILENT = (2103, "Another node does not answer.")
    PEER_BACK = (2104, "Another node answers again.")
    ADMISSION_CHANGED = (2102, "The node started or stopped admitting.")
    CONFIGURATION_APPLIED = (2201, "A configuration revision is in force.")
    CONFIGURATION_CHANGED = (2202, "An operator's change was accepted.")
    KEY_WITHDRAWN_EMERGENCY = (2203, "A key was withdrawn without the store.")
    STORE_FAILED = (2204, "A call to the key-value service failed.")
    STORE_REGAINED = (2205, "The key-value service answers again.")
    STORE_HISTORY_LOST = (2206, "A watch was too late; all keys are read anew.")
    STORE_ENTRY_UNREADABLE = (2207, "A stored value makes no sense; left out.")
    WRITTEN_THROUGH_PEER = (2208, "Another node wrote for this one.")
    MIRROR_DIFFERED = (2209, "A change was missed; all keys are read anew.")
    VIEW_OLD = (2210, "The node may not know of ends; items wait.")
    VIEW_CURRENT = (2211, "The node knows of ends again; items go on.")
    LEASE_ACQUIRED = (2301, "The node holds a duty's lease.")
    LEASE_LOST = (2302, "The node no longer holds a duty's lease.")
    ORDER_INTENDED = (2303, "Orders were written to the journal.")
    ORDER_SETTLED = (2304, "An order's outcome was recorded.")
    ORDER_RECONCILED = (2305, "A new holder settled an older holder's order.")
    SESSION_OPENED = (2306, "The node has a lease for itself and its duties.")
    SESSION_ENDED = (2307, "The node's lease has ended.")
    LEASE_UNRENEWED = (2308, "A renewal of the node's lease failed.")
    DUTY_TAKEN = (2309, "The node holds a duty.")
    DUTY_LOST = (2310, "The node no longer holds a duty.")
    SERVERS_ORDERED = (2311, "A number of servers was ordered.")
    LOAD_ENDED = (2312, "An order to load weights has ended.")
    COPY_FAILED = (2315, "A copy could not be sent to or had from a node.")
    REPORT_FAILED = (2313, "An engine did not tell how it stands.")
    VM_EMPTIED = (2314, "A VM that is to go was answered to be empty.")
    USAGE_REPORTED = (2401, "A usage window was taken by the intake.")
    USAGE_FAILED = (2402, "A usage window could not be sent yet.")
    SERVER_EJECTED = (2501, "A backend server gets no work for a while.")
    ANSWER_REJECTED = (2502, "An answer was not whole or not ours.")
    REQUEST_FAILED = (2503, "A request ended with an internal error.")
    SERVER_ENTERED = (2504, "A backend server entered itself.")
    SERVER_STATE_CHANGED = (2505, "A backend server's state has changed.")
    SERVER_GONE = (2506, "A backend server's entry is gone.")
    CALL_ANSWERED = (2507, "A call was late, repeated or failed at a server.")
    CALL_REFUSED = (2508, "A call ended without a server's answer.")
    CONNECTION_FAILED = (2509, "A client's connection ended with an error.")
    SERVER_LEAVING = (2510, "A backend server's answer says that it leaves.")
    STEP_OPENED = (2601, "A rollout step was opened.")
    STEP_ENDED = (2602, "A rollout step is complete, cancelled or expired.")
    SAMPLE_RESTARTED = (2603, "A sample was dropped and started again.")
    WEIGHTS_PUBLISHED = (2604, "A trainer published a weight version.")
    WEIGHTS_ACTIVATED = (2605, "A zone's engines run a weight version.")
    VERSION_NAMED = (2606, "A trainer named a weight version.")
    BATCH_ACCEPTED = (2607, "A batch is kept.")
    BATCH_WRITE_FAILED = (2608, "A write of a batch brought no answer.")
    BATCH_TAKEN_UP = (2609, "The node runs a batch's items.")
    BATCH_CLOSED = (2610, "The node has done with a batch's items.")
    BATCH_ENDED = (2611, "A batch was ended by its sender.")
    SAMPLE_RUN = (2612, "A run of an item has ended.")
    SAMPLE_FAILED = (2613, "An item is listed as failed.")
    SCORING_FAILED = (2614, "A scoring call brought no score.")
    RESULTS_LISTED = (2615, "Results were written at their positions.")
    RESULTS_UNLISTED = (2616, "A write of results failed; they are kept.")
    BATCH_UNREADABLE = (2617, "A batch could not be had; tried again.")

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
