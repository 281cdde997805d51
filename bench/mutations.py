"""Mutation tests: disables a mechanism and expects a test to fail.

Each mutation ("break") is applied to a copy of the source tree, in which one
test module, class or method is run.
"""

import argparse
from concurrent import futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs
import orjson

from bench import sitebreaks as breaks

ROOT = pathlib.Path(__file__).parent.parent
SOURCE = pathlib.Path("src/kingcupscale")
TEST_TIMEOUT_S = 400


BREAKS = (
    breaks.Break(
        "each sample names its weight versions",
        "rollouts/step.py",
        "and last.version == token_chunk.version",
        "and True",
        "tests.test_rollouts.StepTest"
        ".test_sample_generated_across_a_swap_has_both_versions",
    ),
    breaks.Break(
        "no sample exceeds the staleness bound",
        "rollouts/step.py",
        "return self.context.rule.allows(sample.oldest_version(), "
        "self.version)",
        "return True",
        "tests.test_rollouts.StepTest.test_stale_samples_are_generated_again",
    ),
    breaks.Break(
        "each sample is delivered once",
        "rollouts/trainer.py",
        "if group.group in received or group.group not in wanted:",
        "if group.group not in wanted:",
        "tests.test_breaks.TrainerTest.test_repeated_group_is_dropped",
    ),
    breaks.Break(
        "a request runs only for the key's organisation",
        "serving/claims.py",
        'key = f"{PREFIX}{organisation}/{digest}"',
        'key = f"{PREFIX}{digest}"',
        "tests.test_serving.PlainCallTest"
        ".test_idempotency_keys_of_organisations_are_independent",
    ),
    breaks.Break(
        "no backend server sees a key",
        "serving/plainservices.py",
        'FORWARDED_HEADERS = ("accept", "accept-language", "content-type")',
        'FORWARDED_HEADERS = ("accept", "authorization", "content-type")',
        "tests.test_breaks.KeyTest.test_key_is_not_forwarded_to_servers",
    ),
    breaks.Break(
        "no backend server sees a key",
        "serving/callerapi.py",
        "_check_exposure(request, key_text)\n        return grant",
        "return grant",
        "tests.test_serving.RefusalTest",
    ),
    breaks.Break(
        "a withdrawn key stops working within seconds",
        "serving/sessions.py",
        "session.cancel()",
        "pass",
        "tests.test_configuration.ClusterTest"
        ".test_withdrawal_ends_an_open_stream",
    ),
    breaks.Break(
        "a withdrawn key stops working within seconds",
        "configuration/admission.py",
        "return self.ready and (self.is_confirmed() or is_in_majority)",
        "return self.ready",
        "tests.test_configuration.ClusterTest"
        ".test_node_cut_off_from_store_and_peers_stops_admitting",
    ),
    breaks.Break(
        "only one process sends orders",
        "duties/lease.py",
        "return self.orders_allowed_from <= now < last",
        "return now < last",
        "tests.test_lease.LeaseTest.test_new_holder_waits_for_orders_in_flight",
    ),
    breaks.Break(
        "only one process sends orders",
        "duties/lease.py",
        "if self.epoch != epoch or not self.can_send_orders():",
        "if False:",
        "tests.test_lease.LeaseTest"
        ".test_paused_holder_is_replaced_and_cannot_send_orders",
    ),
    breaks.Break(
        "only one process sends orders",
        "duties/journal.py",
        "if not answer.written:",
        "if False:",
        "tests.test_lease.JournalTest.test_former_holder_cannot_write",
    ),
    breaks.Break(
        "no usage window is reported with different figures",
        "usage/reporting.py",
        "totals[index] - before[index]",
        "totals[index]",
        "tests.test_usage.ReportingTest",
    ),
    breaks.Break(
        "no usage window is reported with different figures",
        "usage/counterreplication.py",
        "holders = self.replica_holders()",
        "holders = []",
        "tests.test_usage.ReportingTest"
        ".test_counts_of_a_crashed_node_are_reported",
    ),
    breaks.Break(
        "each response is complete and belongs to its request",
        "serving/generation.py",
        "if chunk.request_id != generate_request.request_id:",
        "if False:",
        "tests.test_breaks.InvalidChunkTest"
        ".test_chunk_of_another_response_is_rejected",
    ),
    breaks.Break(
        "each response is complete and belongs to its request",
        "serving/generation.py",
        "if chunk.start != position:",
        "if False:",
        "tests.test_breaks.InvalidChunkTest.test_repeated_chunk_is_rejected",
    ),
    breaks.Break(
        "each response is complete and belongs to its request",
        "serving/plainservices.py",
        "if response.headers.get(REQUEST_ID_HEADER) != expected:",
        "if False:",
        "tests.test_serving.PlainCallTest.test_non_idempotent_call_runs_once",
    ),
    breaks.Break(
        "a request refused as not run has not run",
        "serving/plainservices.py",
        "raise _unknown_outcome(e.reason) from e",
        "raise errors.ServiceError(errors.ResultCode.BACKEND_FAILED) from e",
        "tests.test_serving.PlainCallTest.test_non_idempotent_call_runs_once",
    ),
    breaks.Break(
        "a non-idempotent request runs at most once",
        "serving/plainservices.py",
        "if e.may_have_been_sent and not is_idempotent:",
        "if False:",
        "tests.test_serving.PlainCallTest.test_non_idempotent_call_runs_once",
    ),
    breaks.Break(
        "a non-idempotent request runs at most once",
        "serving/claims.py",
        "is_same and claim.state is ClaimState.NOT_RUN",
        "is_same and claim.state is not ClaimState.DONE",
        "tests.test_serving.PlainCallTest"
        ".test_retries_with_a_key_on_several_nodes_run_once",
    ),
    breaks.Break(
        "a leaving server gets no new requests",
        "serving/routing.py",
        "if not state.is_leaving and state.name not in requirements.excluded",
        "if state.name not in requirements.excluded",
        "tests.test_serving.GenerationTest"
        ".test_leaving_engine_gets_no_new_requests",
    ),
    breaks.Break(
        "a planned stop interrupts no request",
        "node.py",
        "while self.caller_api.active or self.sessions.open_sessions:",
        "while False:",
        "tests.test_serving.PlannedStopTest"
        ".test_drain_interrupts_no_request_and_loses_no_usage",
    ),
    breaks.Break(
        "an accepted configuration takes effect and never reverts",
        "configuration/replica.py",
        "if batch.snapshot and batch.snapshot.revision > self.revision:",
        "if batch.snapshot:",
        "tests.test_configuration.ReplicaTest",
    ),
    breaks.Break(
        "an accepted configuration takes effect and never reverts",
        "configuration/editor.py",
        "if not self.admission.has_majority():",
        "if False:",
        "tests.test_configuration.ClusterTest"
        ".test_minority_that_reaches_the_store_accepts_no_change",
    ),
    breaks.Break(
        "an accepted configuration takes effect and never reverts",
        "configuration/replication.py",
        "if self.replica.revision and self.admission.is_majority(reached):",
        "if True:",
        "tests.test_configuration.ClusterTest"
        ".test_starting_node_waits_for_more_than_one_stale_peer",
    ),
    breaks.Break(
        "an accepted configuration takes effect and never reverts",
        "configuration/editor.py",
        "if not is_waived and not self.admission.is_majority(set(reached)):",
        "if False:",
        "tests.test_configuration.ClusterTest"
        ".test_change_without_confirming_majority_is_not_accepted",
    ),
    breaks.Break(
        "crashes under a call are known to other nodes",
        "serving/crashgossip.py",
        "for record in reports.records[:MAX_RECORDS_PER_MESSAGE]:",
        "for record in reports.records[:0]:",
        "tests.test_crashing_calls",
    ),
    breaks.Break(
        "a completion waits for the verification of its crashes",
        "serving/crashwatch.py",
        "if self.losses >= records.BLOCKING_CRASHES:",
        "if self.losses >= 99:",
        "tests.test_crashing_calls",
    ),
    breaks.Break(
        "a call that was sent and crashed servers is not refused as not run",
        "serving/crashwatch.py",
        "self.is_sent = True",
        "self.is_sent = False",
        "tests.test_crashing_calls",
    ),
    breaks.Break(
        "a trainer's call is sent although servers crash under it",
        "serving/plainservices.py",
        "if call.is_background:",
        "if False:",
        "tests.test_crashing_calls",
    ),
)


PARTS = {
    "own": BREAKS,
    "site": breaks.BREAKS,
    "all": (*BREAKS, *breaks.BREAKS),
}


@attrs.frozen
class Outcome:
    """The result of a mutation.

    Attributes:
        promise: The guarantee that the mechanism provides.
        file: The mutated source file, relative to the package.
        test: The test that was run.
        is_red: Whether the test run failed, as expected.
    """

    promise: str
    file: str
    test: str
    is_red: bool


def run_break(mutation: breaks.Break) -> Outcome:
    """Applies a mutation to a copy of the source tree and runs its test.

    Raises:
        ValueError: If the text to replace does not occur exactly once.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "tree"
        ignored = shutil.ignore_patterns(
            ".git", ".venv", "__pycache__", "target", "journal"
        )
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / SOURCE / mutation.file
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.old) != 1:
            raise ValueError(
                f"{mutation.file}: expected {mutation.old!r} exactly once"
            )
        path.write_text(
            text.replace(mutation.old, mutation.new), encoding="utf-8"
        )
        code = subprocess.run(
            [sys.executable, "-m", "unittest", mutation.test],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        ).returncode
    return Outcome(mutation.promise, mutation.file, mutation.test, code != 0)


def main() -> int:
    """Runs the mutations from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--part",
        choices=("own", "site", "all"),
        default="all",
        help="mutations of a node with its own API (own), of a node on the"
        " platform (site), or of both (all)",
    )
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    arguments = parser.parse_args()
    with futures.ThreadPoolExecutor(arguments.jobs) as pool:
        outcomes = list(pool.map(run_break, PARTS[arguments.part]))
    survived = [outcome for outcome in outcomes if not outcome.is_red]
    if arguments.json:
        print(orjson.dumps([attrs.asdict(o) for o in outcomes]).decode())
    else:
        for outcome in outcomes:
            colour = "red" if outcome.is_red else "GREEN"
            print(f"{colour:5} {outcome.promise}: {outcome.test}")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
