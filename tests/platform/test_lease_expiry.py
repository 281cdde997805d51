"""Orders and reports whose lease expires while their connection is opened.

Only the holder of a duty may send them, so the lease is checked again right
before the first byte.
"""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.capacity import autoscaler
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
# Time to open a connection if a packet is lost, or if the process or its VM is
# paused between the check and the first byte.
SLOW_CONNECT_S = 0.6
# Time of the check. What remains of the lease then, without its safety margin,
# is less than the time to open a slow connection.
CHECKED_AT_S = 1.2


class SlowHttpClient:
    """Opens connections after a delay and records the requests sent."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.sent = []

    @contextlib.asynccontextmanager
    async def open(self, address, request, timeout_s):
        await trio.sleep(self.delay_s)
        request.before_send()
        self.sent.append(request)
        yield message.Response(200)


def _make_duty_lock(clock):
    session = locks.LeaseSession(None, clock, "n1", TTL_S)
    session.lease = 7
    session.ends_at = clock.monotonic() + TTL_S
    mirror = mirrors.StoreMirror(None, clock, "n1", lambda: 0.0, None)
    duty_lock = locks.DutyLock("duty", session, mirror, clock)
    duty_lock.fencing_token, duty_lock.lease = 3, 7
    return duty_lock


async def _report(http_client, holder):
    await cloud.PlatformCloud(http_client, "cloud").report(5, {"a": 1}, holder)


async def _scale(http_client, holder):
    order = autoscaler.Order("engines", "a", 2)
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
            (f"{name}_{when}", send, delay_s, expected_sent)
            for name, send in (
                ("usage", _report),
                ("scale", _scale),
                ("load", _load),
            )
            for when, delay_s, expected_sent in (
                ("soon", 0.2, 1),
                ("late", SLOW_CONNECT_S, 0),
            )
        ]
    )
    @virtual.on_virtual_time
    async def test_nothing_is_sent_after_the_lease_may_have_expired(
        self, _, send, delay_s, expected_sent
    ):
        clock = virtualtime.VirtualClock()
        duty_lock = _make_duty_lock(clock)
        await trio.sleep(CHECKED_AT_S)
        self.assertTrue(duty_lock.is_held())
        http_client = SlowHttpClient(delay_s)
        failures = (
            windows.ReportError,
            autoscaler.OrderError,
            serverclient.ServerError,
        )
        with contextlib.suppress(*failures):
            await send(http_client, duty_lock.holder())
        self.assertEqual(len(http_client.sent), expected_sent)
