"""A rollout service for reinforcement learning beside live traffic.

What embedders use, re-exported once; each part also works alone.
"""

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
