"""Days of our own: each kind of trouble early, late and twice.

``python -m bench.days`` writes the files in ``deploy/days`` and the table of
kinds by moments in ``docs/KINDS.md``.
"""

import pathlib

import attrs

ROOT = pathlib.Path(__file__).parent.parent
FOLDER = ROOT / "deploy" / "days"
TABLE = ROOT / "docs" / "KINDS.md"
# Seconds from the start of traffic: while the first batches are run, in the
# middle, and as the last ones of a day of 42 s are.
EARLY_S, MIDDLE_S, LATE_S = 3.0, 17.0, 31.0
KINDS_A_DAY = 3
APART_S = 2.5


@attrs.frozen
class Kind:
    """A kind of trouble and the words that go with it.

    Attributes:
        name: Its name at the bench.
        words: Further fields, as TOML.
        is_planned: Whether it is planned work.
    """

    name: str
    words: str = ""
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
    # Those below come on grown sites only, so they share no day with others.
    Kind("srv_flap", "share = 0.1, gap_s = 1.4, for_s = 5.0"),
    Kind("srv_lying_health", 'share = 0.1, for_s = 5.0, how = "hang"'),
    Kind("config_storm", "gap_s = 0.3, for_s = 3.0", True),
    Kind("big_config", "x = 50.0", True),
)


def groups() -> list[tuple[Kind, ...]]:
    """Returns the kinds of each day."""
    return [
        KINDS[start : start + KINDS_A_DAY]
        for start in range(0, len(KINDS), KINDS_A_DAY)
    ]


def make_day(name: str, kinds: tuple[Kind, ...], seed: int) -> str:
    """Returns a day on which each kind strikes early, in the middle and late.

    The times in the middle overlap with those of the other kinds.
    """
    rows: dict[bool, list[str]] = {False: [], True: []}
    for number, kind in enumerate(kinds):
        for begin_s in (EARLY_S, MIDDLE_S, LATE_S):
            apart_s = APART_S if begin_s != MIDDLE_S else APART_S / 5
            at_s = begin_s + apart_s * number
            words = f", {kind.words}" if kind.words else ""
            rows[kind.is_planned].append(
                f'  {{ at = {at_s}, kind = "{kind.name}"{words} }},'
            )
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += ["plan = [", *rows[True], "]", "faults = [", *rows[False], "]"]
    return "\n".join(lines) + "\n"


def make_table() -> str:
    """Returns the table of kinds by the moments at which the days have them."""
    lines = [
        "# Kinds of trouble by moment",
        "",
        "Written by `python -m bench.days`, with the days in `deploy/days`;",
        "each is played by `fleetbench run SITE deploy/days/NAME.toml`. Early:",
        "while the first batches run; middle: beside the other kinds of its",
        "day; late: as the last batches run. What the last plays showed stands",
        "below.",
        "",
        "| kind | day | early, s | middle, s | late, s |",
        "|---|---|---|---|---|",
    ]
    for index, kinds in enumerate(groups(), 1):
        for number, kind in enumerate(kinds):
            times = [
                f"{EARLY_S + APART_S * number:g}",
                f"{MIDDLE_S + APART_S / 5 * number:g}",
                f"{LATE_S + APART_S * number:g}",
            ]
            lines.append(
                f"| `{kind.name}` | kinds-{index:02d} | {' | '.join(times)} |"
            )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Writes the days, and the table unless a note stands under it."""
    FOLDER.mkdir(exist_ok=True)
    for index, kinds in enumerate(groups(), 1):
        name = f"kinds-{index:02d}"
        text = make_day(name, kinds, 1000 + index)
        (FOLDER / f"{name}.toml").write_text(text, encoding="utf-8")
    marker = "\n## Plays\n"
    note = ""
    if TABLE.exists():
        _, found, rest = TABLE.read_text(encoding="utf-8").partition(marker)
        note = found + rest
    TABLE.write_text(make_table() + note, encoding="utf-8")


if __name__ == "__main__":
    main()
