"""Reads the settings file that the platform writes for each process."""

import math
import pathlib

from kingcupscale import deployment
from kingcupscale import settings
from kingcupscale.web import clientlimits


def load(path: str) -> deployment.ProcessSettings:
    """Returns the settings of a file with one ``name=value`` on each line.

    Raises:
        SettingsError: If fields are missing or invalid, with all problems.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as e:
        raise settings.SettingsError(path, [f"  {e}"]) from None
    reader = _Reader(_split(text))
    duties = reader.text("cloud.duties").split(",")
    loaded = deployment.ProcessSettings(
        node=reader.required("node"),
        role=reader.text("role"),
        zone=reader.required("zone"),
        callers=reader.text("listen.front"),
        readiness=reader.text("listen.ready"),
        peers=reader.text("listen.control"),
        store=reader.required("provider.address"),
        cloud=reader.text("cloud.address"),
        seeds=tuple(s for s in reader.text("seeds").split(",") if s),
        min_lease_s=reader.number("provider.ttlMinMs", 1000.0) / 1000,
        value_bytes=int(reader.number("provider.valueBytes", 1 << 20)),
        heartbeat_s=reader.number("heartbeatMs", 1200.0) / 1000,
        reports_usage="metering" in duties,
        orders_servers="autoscaling" in duties,
        bounds=_read_bounds(reader),
        zone_regions=_read_regions(reader),
        capacity_cores=_read_capacity(reader),
        memory_mb=reader.number("limits.memoryMb", 0.0),
        clients=_read_client_limits(reader),
    )
    if reader.problems:
        raise settings.SettingsError(path, reader.problems)
    return loaded


def _read_capacity(reader: "_Reader") -> float | None:
    """Returns the VM's capacity in cores; None if it is not configured."""
    names = ("limits.cpuShare", "limits.cores")
    if not any(reader.text(name) for name in names):
        return None
    return math.prod(reader.number(name, 1.0) for name in names)


def _read_regions(reader: "_Reader") -> dict[str, str]:
    """Returns the region of each zone; the node's own is given twice."""
    regions = reader.group("zones.")
    if reader.text("region"):
        regions.setdefault(reader.text("zone"), reader.text("region"))
    return regions


def _read_bounds(reader: "_Reader") -> deployment.Bounds:
    defaults = deployment.Bounds()
    return deployment.Bounds(
        contact_s=reader.milliseconds("bounds.contactMs", defaults.contact_s),
        drain_s=reader.milliseconds("bounds.drainMs", defaults.drain_s),
        grace_s=reader.number("bounds.graceS", defaults.grace_s),
        apply_s=reader.milliseconds("bounds.configApplyMs", defaults.apply_s),
        apply_extension_s=reader.milliseconds(
            "bounds.stretchMaxMs", defaults.apply_extension_s
        ),
        lease_s=reader.milliseconds("bounds.leaseMs", defaults.lease_s),
        window_s=reader.number("bounds.reportWindowS", defaults.window_s),
        late_s=reader.number("bounds.usageLateS", defaults.late_s),
        cancel_s=reader.milliseconds("bounds.cancelMs", defaults.cancel_s),
        retention_s=reader.number(
            "bounds.statusRetentionS", defaults.retention_s
        ),
        evacuate_s=reader.milliseconds(
            "bounds.evacuateMs", defaults.evacuate_s
        ),
        cold_overage=reader.number("bounds.coldOverage", defaults.cold_overage),
        cold_slack=reader.number("bounds.coldSlack", defaults.cold_slack),
    )


def _read_client_limits(reader: "_Reader") -> clientlimits.ClientLimits:
    """Returns the limits on clients; those not set follow from the VM's."""
    defaults = clientlimits.derive()
    return clientlimits.derive(
        memory_mb=reader.number("limits.memoryMb", 0.0),
        max_fds=int(reader.number("limits.maxFds", 0.0)),
        budget_mb=reader.number("clients.memoryMb", 0.0),
        connections=int(reader.number("clients.connections", 0.0)),
        address_share=reader.number(
            "clients.addressShare", clientlimits.ADDRESS_SHARE
        ),
        body_bytes_per_s=reader.number(
            "clients.bodyBytesPerS", defaults.body_bytes_per_s
        ),
        body_window_s=reader.milliseconds(
            "clients.bodyWindowMs", defaults.body_window_s
        ),
        wait_s=reader.milliseconds("clients.waitMs", defaults.wait_s),
        send_stall_s=reader.milliseconds(
            "clients.sendStallMs", defaults.send_stall_s
        ),
    )


def _split(text: str) -> dict[str, str]:
    lines = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in lines}


class _Reader:
    """Reads fields and collects the problems found in them."""

    def __init__(self, fields: dict[str, str]) -> None:
        self.fields = fields
        self.problems: list[str] = []

    def text(self, name: str) -> str:
        return self.fields.get(name, "")

    def group(self, prefix: str) -> dict[str, str]:
        """Returns the fields whose names begin with a prefix, without it."""
        return {
            name.removeprefix(prefix): value
            for name, value in self.fields.items()
            if name.startswith(prefix) and name != prefix and value
        }

    def required(self, name: str) -> str:
        value = self.text(name)
        if not value:
            self.problems.append(f"  {name}: found nothing, expected a value")
        return value

    def number(self, name: str, default: float) -> float:
        value = self.text(name)
        try:
            number = float(value) if value else default
        except ValueError:
            number = -1.0
        if not 0 <= number < math.inf:
            self.problems.append(
                f"  {name}: found {value!r}, expected a number of 0 or more"
            )
            return default
        return number

    def milliseconds(self, name: str, default_s: float) -> float:
        return self.number(name, default_s * 1000) / 1000
