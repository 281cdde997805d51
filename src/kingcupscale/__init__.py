"""A rollout service for reinforcement learning that also serves live traffic.

The package re-exports the classes for programs that embed it, including ones
that run no node. A name is imported when it is first used, so that a node does
not load modules that it does not need.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from kingcupscale.clock import Clock as Clock
    from kingcupscale.clock import SystemClock as SystemClock
    from kingcupscale.configuration.replica import Replica as Replica
    from kingcupscale.duties.journal import Journal as Journal
    from kingcupscale.duties.lease import Lease as Lease
    from kingcupscale.duties.lease import LeaseSettings as LeaseSettings
    from kingcupscale.errors import ResultCode as ResultCode
    from kingcupscale.errors import Run as Run
    from kingcupscale.errors import ServiceError as ServiceError
    from kingcupscale.peering.members import Members as Members
    from kingcupscale.rollouts.staleness import StalenessRule as StalenessRule
    from kingcupscale.rollouts.trainer import TrainerClient as TrainerClient
    from kingcupscale.rollouts.trainer import TrainerError as TrainerError
    from kingcupscale.serving.queue import FairQueue as FairQueue
    from kingcupscale.usage.counter import Counters as Counters

_MODULES = {
    "Clock": "clock",
    "SystemClock": "clock",
    "Replica": "configuration.replica",
    "Journal": "duties.journal",
    "Lease": "duties.lease",
    "LeaseSettings": "duties.lease",
    "ResultCode": "errors",
    "Run": "errors",
    "ServiceError": "errors",
    "Members": "peering.members",
    "StalenessRule": "rollouts.staleness",
    "TrainerClient": "rollouts.trainer",
    "TrainerError": "rollouts.trainer",
    "FairQueue": "serving.queue",
    "Counters": "usage.counter",
}
__all__ = tuple(_MODULES)


def __getattr__(name: str) -> object:
    """Imports a re-exported name when it is first used."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    value = getattr(module, name)
    globals()[name] = value
    return value
