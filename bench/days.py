"""Generates fault scenarios ("days") with each kind of fault at three times.

``python -m bench.days`` writes the scenario files in ``deploy/days``, and a
table of the kinds and their times to ``docs/KINDS.md``.
"""

import pathlib

import attrs

ROOT = pathlib.Path(__file__).parent.parent
FOLDER = ROOT / "deploy" / "days"
TABLE = ROOT / "docs" / "KINDS.md"
# Start times of faults, in seconds from the start of traffic: while the first
# batches run, in the middle, and while the last batches of a 42 s day run.
EARLY_S, MIDDLE_S, LATE_S = 3.0, 17.0, 31.0
KINDS_PER_DAY = 3
SPACING_S = 2.5


@attrs.frozen
class Kind:
    """A kind of fault or of planned work.

    Attributes:
        name: The ``kind`` field of the scenario file.
        parameters: Further fields of the entry, as TOML.
        is_planned: Whether it is planned work rather than a fault.
    """

    name: str
    parameters: str = ""
    is_planned: bool = False


KINDS = (
    Kind("srv_crash", "share = 0.2, for_s = 4.0"),
    Kind("platform_slow", "x = 50.0, for_s = 3.0"),
    Kind("node_kill", 'count = 1, for_s = 3.0, how = "power"'),
    Kind("srv_slow", "share = 0.2, x = 4.0, for_s = 5.0"),
    Kind("platform_lost", "x = 0.3, for_s = 4.0"),
    Kind("config_change", 'how = "route"', True),
    Kind("release", "share = 0.4, x = 1.0, gap_s = 1.0", True),
    Kind("node_freeze", "count = 1, for_s = 3.0"),
    Kind("cloud_down", 'for_s = 4.0, how = "silent"'),
    Kind("scale_in", 'share = 0.15, how = "spot", x = 2.0', True),
    Kind("core_cut", 'count = 1, for_s = 4.0, how = "leader"'),
    Kind("revoke", "count = 2, gap_s = 0.5", True),
    Kind("answer_lost", "share = 0.4, x = 0.03, for_s = 4.0"),
    Kind("roll_term", "share = 0.5, x = 1.0, gap_s = 1.0", True),
    Kind("platform_compact", "x = 4.0, for_s = 6.0"),
    Kind("garble", "share = 0.4, x = 0.02, for_s = 4.0"),
    Kind("add_nodes", "count = 1", True),
    Kind("platform_down", 'for_s = 3.0, how = "busy"'),
    Kind("kill_leader", 'for_s = 3.0, how = "freeze"'),
    Kind("retire", "for_s = 6.0", True),
    Kind("applied_late", 'x = 0.4, for_s = 4.0, how = "all"'),
    Kind("node_cut", 'count = 1, for_s = 3.0, how = "all"'),
    Kind("reset_conns", "share = 0.3, x = 0.5"),
    Kind("replace_core", "x = 1.0"),
    Kind("after_ack_kill", 'count = 1, for_s = 3.0, how = "taken"'),
    Kind("disk_slow", "count = 1, x = 30.0, for_s = 4.0"),
    Kind("srv_grey", 'share = 0.15, x = 0.4, for_s = 4.0, how = "errors"'),
    Kind("after_ack_wipe", "count = 1, for_s = 2.0"),
    Kind("srv_cut", "share = 0.2, for_s = 4.0"),
    Kind("burst", "x = 1.5, for_s = 4.0"),
    Kind("node_slow", "count = 1, x = 5.0, for_s = 4.0"),
    Kind("replace_with_reuse", "share = 0.15"),
    Kind("hup", "share = 0.5, gap_s = 1.0", True),
    Kind("give_up", "share = 0.2, x = 100.0, for_s = 4.0"),
    Kind("herd_kill", "share = 0.6, for_s = 2.0"),
    Kind("scale_out", "share = 0.3, gap_s = 3.0", True),
    Kind("clock_step", "x = 900.0, share = 0.3, for_s = 4.0"),
    Kind("cloud_slow", "x = 50.0, for_s = 4.0"),
    Kind("node_freeze", 'count = 1, for_s = 3.0, how = "renewed"'),
    # The kinds below occur only on sites that have grown, so they are kept on
    # days of their own.
    Kind("srv_flap", "share = 0.1, gap_s = 1.4, for_s = 5.0"),
    Kind("srv_lying_health", 'share = 0.1, for_s = 5.0, how = "hang"'),
    Kind("config_storm", "gap_s = 0.3, for_s = 3.0", True),
    Kind("big_config", "x = 50.0", True),
)


def groups() -> list[tuple[Kind, ...]]:
    """Returns the kinds, grouped by day."""
    return [
        KINDS[start : start + KINDS_PER_DAY]
        for start in range(0, len(KINDS), KINDS_PER_DAY)
    ]


def make_day(name: str, kinds: tuple[Kind, ...], seed: int) -> str:
    """Returns a scenario in which each kind occurs early, mid-day and late.

    Mid-day, the kinds overlap: they start close together.
    """
    rows: dict[bool, list[str]] = {False: [], True: []}
    for number, kind in enumerate(kinds):
        for begin_s in (EARLY_S, MIDDLE_S, LATE_S):
            spacing_s = SPACING_S if begin_s != MIDDLE_S else SPACING_S / 5
            at_s = begin_s + spacing_s * number
            parameters = f", {kind.parameters}" if kind.parameters else ""
            rows[kind.is_planned].append(
                f'  {{ at = {at_s}, kind = "{kind.name}"{parameters} }},'
            )
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += ["plan = [", *rows[True], "]", "faults = [", *rows[False], "]"]
    return "\n".join(lines) + "\n"


def make_table() -> str:
    """Returns the table of kinds and the times at which they occur."""
    lines = [
        "# Kinds of faults by time",
        "",
        "Written by `python -m bench.days`, with the days in `deploy/days`;",
        "each is run by `fleetbench run SITE deploy/days/NAME.toml`. Early:",
        "while the first batches run; middle: together with the other kinds of",
        "its day; late: while the last batches run. The latest results are",
        "listed below.",
        "",
        "| kind | day | early, s | middle, s | late, s |",
        "|---|---|---|---|---|",
    ]
    for index, kinds in enumerate(groups(), 1):
        for number, kind in enumerate(kinds):
            times = [
                f"{EARLY_S + SPACING_S * number:g}",
                f"{MIDDLE_S + SPACING_S / 5 * number:g}",
                f"{LATE_S + SPACING_S * number:g}",
            ]
            lines.append(
                f"| `{kind.name}` | kinds-{index:02d} | {' | '.join(times)} |"
            )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Writes the days and the table; keeps the results below the table."""
    FOLDER.mkdir(exist_ok=True)
    for index, kinds in enumerate(groups(), 1):
        name = f"kinds-{index:02d}"
        text = make_day(name, kinds, 1000 + index)
        (FOLDER / f"{name}.toml").write_text(text, encoding="utf-8")
    marker = "\n## Plays\n"
    results = ""
    if TABLE.exists():
        _, found, rest = TABLE.read_text(encoding="utf-8").partition(marker)
        results = found + rest
    TABLE.write_text(make_table() + results, encoding="utf-8")


if __name__ == "__main__":
    main()
