"""A configuration with keys, for sessions before the stand-ins."""

from typing import Any

import attrs

from kingcupscale.configuration import keys

ENGINE_SERVICE = "plume-llm"
PLAIN_SERVICE = "shop-app"
ZONES = (
    "kr-south-a",
    "kr-south-b",
    "kr-south-c",
    "kr-north-a",
    "kr-north-b",
    "kr-north-c",
)
REGION = "kr-south"
FRESHNESS_VERSIONS = 1


@attrs.frozen
class Issued:
    """A key that was granted, with its text.

    Attributes:
        text: The whole key.
        key_id: Its id.
        organisation: Whose it is.
        label: The organisation's label.
        trainer: The trainer it belongs to, or empty.
    """

    text: str
    key_id: str
    organisation: str
    label: str
    trainer: str = ""


def make_tables(
    engines: dict[str, str], servers: dict[str, str], zones: int = 3
) -> dict[str, Any]:
    """Returns classes, zones and services, without organisations.

    Args:
        engines: Address of each model engine by name.
        servers: Address of each plain server by name.
        zones: Availability zones they are spread over.
    """
    return {
        "classes": {
            "customer": {"priority": 20, "latency_s": 1.0, "deadline_s": 20.0},
            "internal": {"priority": 10, "latency_s": 3.0},
            "rollout": {
                "priority": 1,
                "latency_s": 60.0,
                "deadline_s": 300.0,
                "queue": 4096,
                "freshness_versions": FRESHNESS_VERSIONS,
                "cheap": True,
            },
        },
        "zones": {zone: {"region": REGION} for zone in ZONES[:zones]},
        "services": {
            ENGINE_SERVICE: {
                "kind": "engine",
                "fenced": True,
                "backend_servers": _place(engines, 32, zones),
            },
            PLAIN_SERVICE: {
                "kind": "plain",
                "backend_servers": _place(servers, 64, zones),
            },
        },
        "organisations": {},
        "keys": {},
        "trainers": {},
        "open_routes": {},
    }


def _place(servers: dict[str, str], slots: int, zones: int) -> dict[str, Any]:
    return {
        name: {
            "address": address,
            "zone": ZONES[index % zones],
            "slots": slots,
        }
        for index, (name, address) in enumerate(servers.items())
    }


def add_organisation(
    tables: dict[str, Any], name: str, service_class: str
) -> Issued:
    """Enters an organisation with one key."""
    label = f"org-{name}"
    tables["organisations"][name] = {"label": label, "streams": 64}
    key = keys.make_key(f"{name}-key")
    tables["keys"][key.key_id] = {
        "organisation": name,
        "service_class": service_class,
        "salt": key.salt,
        "digest": key.digest,
    }
    return Issued(key.text, key.key_id, name, label)


def add_trainer(
    tables: dict[str, Any], name: str, organisation: str, scorer: str = ""
) -> Issued:
    """Enters a trainer with one key."""
    tables["trainers"][name] = {
        "organisation": organisation,
        "service": ENGINE_SERVICE,
        "service_class": "rollout",
        "scorer": scorer,
    }
    key = keys.make_key(f"{name}-key")
    tables["keys"][key.key_id] = {
        "organisation": organisation,
        "service_class": "rollout",
        "salt": key.salt,
        "digest": key.digest,
        "trainer": name,
    }
    label = tables["organisations"][organisation]["label"]
    return Issued(key.text, key.key_id, organisation, label, name)
