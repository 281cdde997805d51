"""Deliberate breaks of what a node does on the platform."""

import attrs


@attrs.frozen
class Break:
    """One mechanism broken on purpose.

    Attributes:
        promise: Which promise rests on it.
        file: Source file.
        old: Text that stands there once.
        new: What takes its place.
        test: The test that must fail.
    """

    promise: str
    file: str
    old: str
    new: str
    test: str


SITE = "tests.platform."
CACHE = "tests.batches.test_cache"

BREAKS = (
    Break(
        "a result has one position",
        "batches/cache.py",
        "stores.Transaction(conditions, puts)",
        "stores.Transaction([], puts)",
        CACHE,
    ),
    Break(
        "a reader hears of results without the store",
        "batches/cache.py",
        "self.mirror.restart_follow()",
        "pass",
        CACHE,
    ),
    Break(
        "no result is missed by a node that takes a copy",
        "batches/fetching.py",
        "if snapshot is None or snapshot.revision < revision:",
        "if snapshot is None:",
        CACHE,
    ),
    Break(
        "no result is missed while a batch is loaded",
        "batches/cache.py",
        "for entry in pending.entries:",
        "for entry in ():",
        CACHE,
    ),
    Break(
        "no result is missed after lost history",
        "storage/mirror.py",
        "                    self.on_reloaded()",
        "                    pass",
        CACHE,
    ),
    Break(
        "a mirror is no newer than it says",
        "peering/relay.py",
        "requested_at - self.mirror.current_at",
        "0.0",
        "tests.storage.test_relay",
    ),
    Break(
        "a follower skips no change",
        "peering/relay.py",
        "        found = self.mirror.log.since(position)\n"
        "        if found is None or",
        "        if not found or",
        "tests.storage.test_relay",
    ),
    Break(
        "a configuration never goes back",
        "clusterstate.py",
        "not catalogue.is_newer(found, self.catalogue)",
        "False",
        SITE + "test_configurations.ConfigurationTest"
        ".test_older_or_unreadable_configuration_changes_nothing",
    ),
    Break(
        "orders end with the lease",
        "storage/locks.py",
        "return self.clock.monotonic() < self.ends_at - safety_s",
        "return self.lease != stores.NO_LEASE",
        SITE + "test_versions.VersionTest"
        ".test_isolated_holder_gives_no_order_after_its_lease",
    ),
    Break(
        "a withdrawn key ends on a node that hears nobody",
        "readiness.py",
        "return is_alone and bool(self.peers.addresses())",
        "return False",
        SITE + "test_configurations.ConfigurationTest"
        ".test_isolated_node_stops_admitting",
    ),
    Break(
        "no refusal rests on an old configuration",
        "gateway/admission.py",
        "return self.find_staleness_error() or errors.ServiceError(code)",
        "return errors.ServiceError(code)",
        SITE + "test_configurations.StaleConfigurationTest",
    ),
    Break(
        "no batch is hidden by an old configuration",
        "gateway/callerservice.py",
        "                staleness_error\n                and is_known\n",
        "                False\n                and is_known\n",
        SITE + "test_configurations.StaleConfigurationTest",
    ),
    Break(
        "texts go on after a takeover",
        "batches/coordinator.py",
        "sample.events = self.partial_texts.pop(item.id, [])",
        "sample.events = []",
        SITE + "test_batches.BatchTest.test_texts_are_resumed_after_a_takeover",
    ),
    Break(
        "a draining server gets nothing new",
        "fleet/registry.py",
        "            and self.entry.state is ServerState.READY\n",
        "",
        SITE + "test_calls.CallTest.test_draining_server_gets_nothing_new",
    ),
    Break(
        "a batch that may be kept is not said to be refused",
        "batches/transactions.py",
        "    if may_have_run:\n        raise",
        "    if False:\n        raise",
        SITE + "test_submissions.SubmissionTest"
        ".test_batch_that_may_be_stored_is_not_reported_refused",
    ),
    Break(
        "an open batch is kept",
        "batches/retention.py",
        "return record is not None and not record.is_open()",
        "return True",
        CACHE,
    ),
    Break(
        "an ended batch stays ended",
        "batches/cache.py",
        "            record.mark_ended()\n        self.records[batch_id]",
        "            pass\n        self.records[batch_id]",
        CACHE,
    ),
    Break(
        "a result is listed in its own batch only",
        "batches/coordinator.py",
        "key = (sample.record.batch.id, sample.id)",
        "key = next((k for k in self.copied_results if k[1] == sample.id), "
        "None)",
        SITE + "test_versions.VersionTest"
        ".test_result_of_an_ended_batch_is_not_used_for_another",
    ),
    Break(
        "a mirror that missed a change is read anew",
        "storage/mirror.py",
        "elif now - self.differs_since > MAX_DIFFERENCE_S:",
        "elif False:",
        "tests.storage.test_mirror",
    ),
    Break(
        "a closed session holds nothing",
        "storage/locks.py",
        "while not self.is_closed:",
        "while True:",
        "tests.storage.test_session",
    ),
    Break(
        "a call that may run once runs once",
        "gateway/forwarder.py",
        "state.route.allows_retry()\n            and state.attempts",
        "state.attempts",
        SITE + "test_calls.CallTest.test_response_without_signature_or_id",
    ),
    Break(
        "usage counts are whole",
        "usage/windows.py",
        "            self.flushed[window] = counts\n"
        "            self.flushed_to[window] = IN_STORE\n",
        "            self.flushed[window] = self.counts[window]\n"
        "            self.flushed_to[window] = IN_STORE\n",
        "tests.test_windows",
    ),
    Break(
        "counts reach the next node that reports",
        "usage/windows.py",
        "is_unchanged and self.flushed_to[window] in (IN_STORE, holder)",
        "is_unchanged",
        "tests.test_windows",
    ),
    Break(
        "who begins to report waits for what others told before",
        "usage/windows.py",
        "return now - self.acquired_at >= RESEND_WAIT_S",
        "return True",
        "tests.test_windows",
    ),
    Break(
        "a broken connection ends alone",
        "web/worker.py",
        "        except Exception as e:\n            _log_error(e)\n"
        "        except BaseExceptionGroup as group:",
        "        except ZeroDivisionError as group:",
        "tests.test_web_server.ConnectionTest",
    ),
    Break(
        "an item's sender sets only its own headers",
        "platform/documents.py",
        "if n not in dropped}",
        "}",
        "tests.platform.test_documents",
    ),
    Break(
        "what is given up is not sent later",
        "web/httpclient.py",
        "    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),\n",
        "",
        "tests.test_web_server.HttpClientTest",
    ),
    Break(
        "an answer that names no request is nobody's",
        "platform/servers.py",
        "is_refusal_without_id = echoed is None and answer.not_executed",
        "is_refusal_without_id = echoed is None",
        SITE + "test_calls.CallTest.test_response_without_signature_or_id",
    ),
    Break(
        "a node's entry does not go for good",
        "runtime.py",
        "self.registration.note_removed()",
        "pass",
        SITE + "test_lifecycle.RegistrationTest",
    ),
    Break(
        "a lease that nothing needs is not renewed",
        "storage/locks.py",
        "                if self.users:\n",
        "                if True:\n",
        "tests.storage.test_session",
    ),
    Break(
        "copies pass over a node that is gone",
        "batches/samplereplication.py",
        "            self.note_failure(name)\n",
        "",
        SITE + "test_lifecycle.SuccessionTest",
    ),
    Break(
        "a version that nobody told of is asked for",
        "batches/generation.py",
        "            server.versions.update(status.versions)\n",
        "            del status\n",
        SITE + "test_versions.VersionTest",
    ),
    Break(
        "figures of a window are fixed before they are sent",
        "usage/windows.py",
        "stores.Transaction([condition], [put], removals)",
        "stores.Transaction([], [put], removals)",
        "tests.test_windows",
    ),
    Break(
        "a window that was taken is not reported again",
        "usage/windows.py",
        "        self.reported.add(window)\n"
        "        events.log(\n"
        "            events.Event.USAGE_REPORTED",
        "        events.log(\n            events.Event.USAGE_REPORTED",
        "tests.test_windows",
    ),
    Break(
        'a refusal that says "not run" is true',
        "gateway/forwarder.py",
        "        if state.attempts:\n            code = (",
        "        if False:\n            code = (",
        SITE + "test_calls",
    ),
    Break(
        "no server sees a caller's key",
        "platform/frontend.py",
        "dropped = names.CONNECTION_HEADERS | names.OWN_REQUEST_HEADERS",
        "dropped = names.CONNECTION_HEADERS",
        SITE + "test_calls",
    ),
    Break(
        "no text is made by weights that are too old",
        "batches/placement.py",
        "return accepts_samples and version >= batch.minimum_version",
        "return accepts_samples",
        SITE + "test_versions",
    ),
    Break(
        "a text has no gap",
        "batches/sample.py",
        "        if event.number != len(self.events) + 1:\n"
        "            return False\n",
        "",
        SITE + "test_batches",
    ),
    Break(
        "a score is the signature of a success",
        "batches/scoring.py",
        'score = response.signature if response.status < 300 else ""',
        "score = response.signature",
        SITE + "test_batches",
    ),
    Break(
        "a batch is shown to its organisation only",
        "batches/cache.py",
        "if record is None or record.batch.organisation != organisation:",
        "if record is None:",
        SITE + "test_submissions",
    ),
    Break(
        "an accepted batch is in the store",
        "batches/transactions.py",
        "            revision = await store.commit(transaction)\n"
        "            return revision is not None",
        "            return True",
        SITE + "test_submissions",
    ),
    Break(
        "an ended batch runs nothing more",
        "batches/coordinator.py",
        "        for sample in progress.samples.values():\n"
        "            sample.scope.cancel()\n",
        "        for sample in progress.samples.values():\n",
        SITE + "test_batches",
    ),
    Break(
        "a batch that may be there is not said to be unknown",
        "batches/fetching.py",
        "        except stores.StoreError as e:\n"
        "            reason = e.reason\n"
        "        if asks_nodes and await",
        "        except stores.StoreError as e:\n"
        "            return None\n"
        "        if asks_nodes and await",
        SITE + "test_submissions",
    ),
    Break(
        "a withdrawn key is refused",
        "gateway/admission.py",
        "        if organisation is None:\n"
        "            raise self.make_refusal(errors.ResultCode.KEY_REFUSED)\n",
        "",
        SITE + "test_configurations",
    ),
    Break(
        "a planned stop hands over the last of all texts",
        "leadership.py",
        "            await self.replicator.hand_over()\n"
        "        self.coordinator.set_active(self.model, False)\n",
        "            self.coordinator.set_active(self.model, False)\n"
        "            await self.replicator.hand_over()\n",
        SITE + "test_lifecycle",
    ),
    Break(
        "samples go on at once when their node is stopped",
        "leadership.py",
        "if holder == self.takeover_source and now < self.takeover_until:",
        "if False:",
        SITE + "test_lifecycle.RollingStopTest",
    ),
    Break(
        "a server that says that it leaves gets nothing new",
        "fleet/registry.py",
        "            and not self.is_leaving\n",
        "",
        SITE + "test_leaving",
    ),
    Break(
        "a leaving server's entry that comes again changes nothing",
        "fleet/registry.py",
        "self.leaving_starts.get(entry.id) == entry.start_ms",
        "False",
        SITE + "test_leaving",
    ),
    Break(
        "another server's notice is not taken for a server's own",
        "platform/servers.py",
        "if response.status != 421 or answered_by == server.id:",
        "if True:",
        SITE + "test_leaving",
    ),
    Break(
        "heads without end have an end",
        "web/httpclient.py",
        "with trio.move_on_after(connect_s + timeout_s) as scope:",
        "with trio.CancelScope() as scope:",
        SITE + "test_endless.EndlessTest.test_status_and_order_end_in_time",
    ),
    Break(
        "a body without end takes little memory",
        "gateway/forwarder.py",
        "await response.read_at_most(MAX_BUFFERED_BYTES)",
        "await response.read_at_most(None)",
        SITE + "test_endless",
    ),
    Break(
        "an event without end takes little memory",
        "platform/servers.py",
        "if len(pending) > MAX_EVENT_BYTES:",
        "if False:",
        SITE + "test_endless",
    ),
    Break(
        "a text without end is given up",
        "batches/generation.py",
        "if size > MAX_TEXT_BYTES or sample.exceeds_token_limit():",
        "if False:",
        SITE + "test_endless",
    ),
    Break(
        "a stalled stream ends with its time",
        "gateway/responsestream.py",
        "max(0.0, until - clock.monotonic())",
        "max(0.0, 60 + until - clock.monotonic())",
        SITE + "test_slow",
    ),
    Break(
        "slow engines finish their texts",
        "batches/generation.py",
        "base_s * 2**sample.idle_timeouts",
        "base_s",
        SITE + "test_slow",
    ),
    Break(
        "a late copy of an answer settles no order",
        "platform/servers.py",
        "if names.SIGNATURE in response.headers:",
        "if False:",
        SITE + "test_leaving",
    ),
    Break(
        "a node that starts reads first what calls need",
        "batches/cache.py",
        "        mirror.defer_prefix(records.PREFIX)\n",
        "",
        SITE + "test_thundering_herd",
    ),
    Break(
        "an ended batch takes little",
        "batches/transactions.py",
        "for number in range(parts):",
        "for number in range(0):",
        SITE + "test_thundering_herd",
    ),
    Break(
        "a lost node's samples go on soon",
        "leadership.py",
        "if self._is_overdue(holder):",
        "if False:",
        SITE + "test_lifecycle.LostHolderTest",
    ),
    Break(
        "a node that lives keeps its samples",
        "fleet/peers.py",
        "            await self.client.probe(address)\n",
        '            raise calls.PeerError("", True)\n',
        SITE + "test_lifecycle.LostHolderTest",
    ),
    Break(
        "no report or order to the cloud leaves after its lease",
        "platform/cloud.py",
        "        request.before_send = holder.check\n",
        "",
        SITE + "test_lease_expiry",
    ),
    Break(
        "no order to an engine leaves after its lease",
        "platform/servers.py",
        "        request.before_send = order.holder.check\n",
        "",
        SITE + "test_lease_expiry",
    ),
    Break(
        "a request that was read at a stop is answered",
        "web/worker.py",
        "        if not self.has_bytes:\n"
        "            self.close_unless_handling()",
        "        self.closed.set()\n        self.socket.close()",
        "tests.test_web_connections.StopTest",
    ),
    Break(
        "a request that was read as its time-out passed is answered",
        "web/worker.py",
        "if data and not self.has_bytes:",
        "if False:",
        "tests.test_web_connections.IdleTest",
    ),
    Break(
        "a head that comes for ever has an end",
        "web/worker.py",
        "if stream.has_bytes and waited_s > allowed.header_timeout_s:",
        "if False:",
        "tests.test_web_connections.IdleTest",
    ),
    Break(
        "what callers may send is what the configuration says",
        "runtime.py",
        "allowed = configured.limits if configured else catalogue.Limits()",
        "allowed = catalogue.Limits()",
        SITE + "test_configurations.LimitsTest",
    ),
    Break(
        "texts of two runs are not joined",
        "peering/replication.py",
        "return is_next and self.before == digest(known)",
        "return is_next",
        SITE + "test_replication",
    ),
    Break(
        "nothing of an ended batch is sent by an old view",
        "batches/sendguard.py",
        "if not self.view.is_current():",
        "if False:",
        SITE + "test_ended",
    ),
    Break(
        "an item whose batch ends while it connects is kept back",
        "batches/sendguard.py",
        "if not sample.record.is_open():",
        "if False:",
        SITE + "test_ended",
    ),
    Break(
        "items go on while the store is silent for all",
        "storage/view.py",
        "was_old = peer_answered_at",
        "was_old = False and peer_answered_at",
        "tests.storage.test_view",
    ),
    Break(
        "failures side by side are not a row",
        "fleet/registry.py",
        "if now < self.ejected_until:",
        "if False:",
        "tests.test_server_registry",
    ),
    Break(
        "calls that are given up teach how long answers take",
        "gateway/forwarder.py",
        "self._update_latency(state.service, timeout_s)",
        "pass",
        SITE + "test_overload",
    ),
    Break(
        "waiting for room takes no time from a scoring call",
        "gateway/forwarder.py",
        "    if inbound.is_background:\n        return inbound.timeout_s\n",
        "",
        SITE + "test_overload",
    ),
    Break(
        "a rewritten specification is no new batch",
        "batches/cache.py",
        "is_new = entry.created == entry.revision",
        "is_new = True",
        CACHE,
    ),
)
