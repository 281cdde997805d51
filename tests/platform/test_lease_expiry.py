"""Calls whose permission runs out before they leave."""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.capacity import fleetsize
from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.platform import cloud
from kingcupscale.platform import servers
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.usage import windows
from kingcupscale.web import message
from tests import virtual

TTL_S = 2.1
# Opening a connection takes this long while a packet is lost, or while the
# process or its VM is paused between the check and the first byte.
LATE_S = 0.6
# What is left of the lease then is less than that.
CHECKED_S = 1.2


class SlowHttpClient:
    """Opens a connection late, and notes what leaves on it."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.left = []

    @contextlib.asynccontextmanager
    async def open(self, address, request, timeout_s):
        await trio.sleep(self.delay_s)
        request.before_send()
        self.left.append(request)
        yield message.Response(200)


def _make_tenure(clock):
    session = locks.LeaseSession(None, clock, "n1", TTL_S)
    session.lease = 7
    session.ends_at = clock.monotonic() + TTL_S
    mirror = mirrors.StoreMirror(None, clock, "n1", lambda: 0.0, None)
    tenure = locks.DutyLock("duty", session, mirror, clock)
    tenure.fencing_token, tenure.lease = 3, 7
    return tenure


async def _report(http_client, holder):
    await cloud.PlatformCloud(http_client, "cloud").report(5, {"a": 1}, holder)


async def _scale(http_client, holder):
    order = fleetsize.Order("engines", "a", 2)
    await cloud.PlatformCloud(http_client, "cloud").order(order, holder)


async def _load(http_client, holder):
    entry = registry.ServerEntry(
        "e1", "engines", "e1:80", "a", registry.ServerState.READY, 4, 1
    )
    order = serverclient.VersionOrder("m", 2, True, holder, 0)
    client = servers.PlatformServers(http_client)
    await client.order(registry.Server(entry), order)


class LeaseExpiryTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{name}_{when}", send, delay_s, leaves)
            for name, send in (
                ("usage", _report),
                ("scale", _scale),
                ("load", _load),
            )
            for when, delay_s, leaves in (("soon", 0.2, 1), ("late", LATE_S, 0))
        ]
    )
    @virtual.on_virtual_time
    async def test_nothing_leaves_once_the_lease_may_be_over(
        self, _, send, delay_s, leaves
    ):
        clock = virtualtime.VirtualClock()
        tenure = _make_tenure(clock)
        await trio.sleep(CHECKED_S)
        self.assertTrue(tenure.is_held())
        http_client = SlowHttpClient(delay_s)
        failures = (
            windows.ReportError,
            fleetsize.OrderError,
            serverclient.ServerError,
        )
        with contextlib.suppress(*failures):
            await send(http_client, tenure.holder())
        self.assertEqual(len(http_client.left), leaves)
