"""Validates a deploy file before it is given to the platform."""

import pathlib
import shlex
from typing import Any

from kingcupscale import settings

ROLES_PER_MACHINE = 2
KNOWN_FIELDS = {
    "run",
    "on",
    "share",
    "count",
    "serves",
    "metrics",
    "apart",
    "template",
    "env",
}
INTERFACES = ("front", "store", "control")


def check(path: str) -> list[str]:
    """Returns the problems of a deploy file, an empty list if it is valid.

    Args:
        path: The file. Its programs are looked up relative to the parent of
            its folder.

    Raises:
        SettingsError: If the file cannot be read.
    """
    document = settings.read_toml(path)
    root = pathlib.Path(path).resolve().parent.parent
    problems = []
    if not isinstance(document.get("build"), str) or not document["build"]:
        problems.append("build: found nothing, expected a command")
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [*problems, "roles: found none, expected one or more"]
    for name, role in roles.items():
        problems += [f"roles.{name}.{p}" for p in _check_role(role, root)]
    return problems + _check_combination(roles)


def _check_role(role: dict[str, Any], root: pathlib.Path) -> list[str]:
    problems = [
        f"{field}: found an unknown field"
        for field in sorted(role.keys() - KNOWN_FIELDS)
    ]
    words = shlex.split(str(role.get("run", "")))
    scripts = [word for word in words if word.endswith(".py")]
    if not words:
        problems.append("run: found nothing, expected a program")
    for script in scripts[:1]:
        if not (root / script).is_file():
            problems.append(f"run: found no file {script}")
    if not role.get("on"):
        problems.append("on: found nothing, expected a class of machines")
    share = role.get("share")
    if (share is None) == (role.get("count") is None):
        problems.append("share: expected either share or count")
    if share is not None and not 0 < share <= 1:
        problems.append(f"share: found {share}, expected above 0, at most 1")
    for served in role.get("serves", ()):
        if served not in INTERFACES:
            problems.append(f"serves: found unknown interface {served!r}")
    port = str(role.get("metrics", "1/x")).partition("/")[0]
    if not port.isdigit():
        problems.append("metrics: expected PORT/PATH")
    return problems


def _check_combination(roles: dict[str, dict[str, Any]]) -> list[str]:
    problems = []
    serving = [
        (served, role.get("on"))
        for role in roles.values()
        for served in role.get("serves", ())
    ]
    for served in ("front", "store"):
        if served not in [s for s, _ in serving]:
            problems.append(f"roles: expected a role that serves {served}")
    if len(set(serving)) != len(serving):
        problems.append(
            "roles: two roles on one class of machines serve the same interface"
        )
    classes = [role.get("on") for role in roles.values()]
    for name in sorted({c for c in classes if c}):
        if classes.count(name) > ROLES_PER_MACHINE:
            problems.append(f"roles: expected at most two on {name}")
    return problems
