"""Numbered log events, written through eliot.

No field may contain a key, a prompt or an answer. docs/EVENTS.md lists all
events.
"""

import enum
from typing import Any

import eliot


@enum.unique
class Event(enum.Enum):
    """Every event that is logged, as (number, summary)."""

    NODE_STARTED = (2001, "A node has started.")
    NODE_DRAINING = (2002, "A node has begun a planned stop.")
    NODE_STOPPED = (2003, "A node has completed a planned stop.")
    SETTINGS_RELOADED = (2004, "The settings file was read and checked again.")
    MEMBER_CHANGED = (2101, "A member became alive, suspect, dead or left.")
    PEER_SILENT = (2103, "Another node does not answer.")
    PEER_BACK = (2104, "Another node answers again.")
    FLEET_SETTLED = (2110, "A started node campaigns for duties from now on.")
    FOLLOWED_CHANGED = (2111, "The node follows another node's changes.")
    ADMISSION_CHANGED = (2102, "The node started or stopped admitting.")
    CONFIGURATION_APPLIED = (2201, "A configuration revision is in force.")
    CONFIGURATION_CHANGED = (2202, "An operator's change was accepted.")
    KEY_WITHDRAWN_EMERGENCY = (2203, "A key was withdrawn without the store.")
    STORE_FAILED = (2204, "A call to the key-value service failed.")
    STORE_REGAINED = (2205, "The key-value service answers again.")
    STORE_HISTORY_LOST = (2206, "History was compacted; all keys are reread.")
    STORE_ENTRY_UNREADABLE = (2207, "An invalid stored value was ignored.")
    WRITTEN_THROUGH_PEER = (2208, "A write was made through another node.")
    MIRROR_DIFFERED = (2209, "A change was missed; all keys are reread.")
    VIEW_OLD = (2210, "Ended batches may be unknown; items wait.")
    VIEW_CURRENT = (2211, "Ended batches are known again; items resume.")
    LEASE_ACQUIRED = (2301, "The node holds a duty's lease.")
    LEASE_LOST = (2302, "The node no longer holds a duty's lease.")
    ORDER_INTENDED = (2303, "Orders were written to the journal.")
    ORDER_SETTLED = (2304, "An order's outcome was recorded.")
    ORDER_RECONCILED = (2305, "A new holder settled an older holder's order.")
    SESSION_OPENED = (2306, "The node acquired its lease in the store.")
    SESSION_ENDED = (2307, "The node's lease expired or was revoked.")
    LEASE_UNRENEWED = (2308, "A renewal of the node's lease failed.")
    DUTY_TAKEN = (2309, "The node has acquired a duty.")
    DUTY_LOST = (2310, "The node no longer holds a duty.")
    SERVERS_ORDERED = (2311, "An order for a number of servers has ended.")
    LOAD_ENDED = (2312, "An order to load weights has ended.")
    COPY_FAILED = (2315, "Copying to or from another node failed.")
    REPORT_FAILED = (2313, "An engine's status could not be read.")
    LOAD_LIMIT_CHANGED = (2316, "The limit on concurrent loads has changed.")
    LOADS_ORDERED = (2317, "Engines were ordered to load weights.")
    VM_EMPTIED = (2314, "A request to retire a VM was confirmed.")
    USAGE_REPORTED = (2401, "A usage window was reported.")
    USAGE_FAILED = (2402, "A usage report failed; retried unless fenced.")
    SERVER_EJECTED = (2501, "A backend server is excluded for a while.")
    ANSWER_REJECTED = (2502, "Answer incomplete or for another request.")
    REQUEST_FAILED = (2503, "A request ended with an internal error.")
    SERVER_ENTERED = (2504, "A backend server registered itself.")
    SERVER_STATE_CHANGED = (2505, "A backend server's state has changed.")
    SERVER_GONE = (2506, "A backend server's entry was removed.")
    CALL_ANSWERED = (2507, "A call was late, repeated or failed at a server.")
    CALL_REFUSED = (2508, "A call ended without a server's answer.")
    CONNECTION_FAILED = (2509, "A client's connection ended with an error.")
    SERVER_LEAVING = (2510, "A backend server announced that it is leaving.")
    ZONE_EVACUATED = (2511, "A zone's servers get no more requests.")
    ZONE_REOPENED = (2512, "The evacuation of a zone has ended.")
    EVACUATION_INVALID = (2513, "An evacuation names an unknown zone.")
    COLD_TIME_INVALID = (2514, "A cold time was ignored or shortened.")
    CONFIGURED_VALUE_IGNORED = (2515, "A configured value is invalid.")
    SERVER_COLD = (2516, "A server gets a limited number of requests.")
    REGION_UNKNOWN = (2517, "The configuration names an unknown region.")
    MEMORY_SCARCE = (2520, "Requests were refused for lack of memory.")
    CONNECTIONS_CLOSED = (2521, "Clients' connections were closed at a limit.")
    CALL_WAITED = (2530, "A call has waited for a free server.")
    CALL_NOT_QUEUED = (2531, "A call was refused for its expected wait.")
    SERVER_CRASHED = (2540, "A backend server ended while it ran a request.")
    CRASHES_LEARNED = (2541, "Another node or the store reported crashes.")
    CRASHES_UNSENT = (2542, "Another node did not accept crash records.")
    CRASHES_CLEARED = (2543, "A server answered a request that was suspected.")
    CRASHES_EXPIRED = (2544, "The crash record of a request was removed.")
    CRASH_TRIAL = (2545, "A blocked request is sent once more, as a trial.")
    CALL_BLOCKED = (2546, "A call was refused because servers crash under it.")
    STEP_OPENED = (2601, "A rollout step was opened.")
    STEP_ENDED = (2602, "A rollout step is complete, cancelled or expired.")
    SAMPLE_RESTARTED = (2603, "A sample was dropped and started again.")
    WEIGHTS_PUBLISHED = (2604, "A trainer published a weight version.")
    WEIGHTS_ACTIVATED = (2605, "A zone's engines run a weight version.")
    VERSION_NAMED = (2606, "A trainer set a model's target weight version.")
    BATCH_ACCEPTED = (2607, "A batch was stored.")
    BATCH_WRITE_FAILED = (2608, "A write of a batch got no answer.")
    BATCH_TAKEN_UP = (2609, "The node started running a batch's items.")
    BATCH_CLOSED = (2610, "The node stopped running a batch's items.")
    BATCH_ENDED = (2611, "A batch was ended by its sender.")
    SAMPLE_RUN = (2612, "A run of an item has ended.")
    SAMPLE_FAILED = (2613, "An item was recorded as failed.")
    SCORING_FAILED = (2614, "A scoring call returned no score.")
    RESULTS_LISTED = (2615, "Results were stored.")
    RESULTS_UNLISTED = (2616, "A write of results failed; it is retried.")
    BATCH_UNREADABLE = (2617, "A batch could not be read; it is retried.")
    BATCH_ANNOUNCED = (2621, "A batch was announced to the node that runs it.")
    ANNOUNCEMENT_HANDLED = (2622, "An announced batch was started or ignored.")
    ANNOUNCED_DELIVERED = (2623, "The mirror delivered an announced batch.")
    ANNOUNCED_DROPPED = (2624, "The mirror lacks a batch; it was stopped.")
    BATCH_LOADED = (2625, "A batch was loaded from another node or the store.")
    RESULTS_SHORT = (2626, "A batch was read past its known results.")
    BATCH_STARTED = (2618, "A batch's first item has got a slot.")

    def __init__(self, number: int, summary: str) -> None:
        self.number = number
        self.summary = summary


def log(event: Event, **fields: Any) -> None:
    """Writes one event.

    Args:
        event: The numbered event.
        **fields: Plain values, never keys, prompts or answers.
    """
    eliot.log_message(
        message_type=f"kingcupscale:{event.name.lower()}",
        event=event.number,
        **fields,
    )
