"""Mutations of a node on the platform, run by ``bench.mutations``.

The table in ``docs/PROMISES.md`` lists them, and a test checks that each fits
the source.
"""

import attrs


@attrs.frozen
class Break:
    """A mutation of the source that disables one mechanism.

    Attributes:
        promise: The guarantee that the mechanism provides.
        file: The source file, relative to the package.
        old: The text to replace, which must occur exactly once.
        new: The replacement.
        test: The test module, class or method that must fail.
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
        "a stored result is never overwritten",
        "batches/cache.py",
        "stores.Transaction(conditions, puts)",
        "stores.Transaction([], puts)",
        CACHE,
    ),
    Break(
        "readers get results without scanning the store",
        "batches/cache.py",
        "self.mirror.restart_follow()",
        "pass",
        CACHE,
    ),
    Break(
        "a node that loads a snapshot misses no result",
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
        "no result is missed after a gap in the store's history",
        "storage/mirror.py",
        "                    self.on_reloaded()",
        "                    pass",
        CACHE,
    ),
    Break(
        "a mirror is current only with every change of the store",
        "storage/mirror.py",
        "if revision <= self.revision:",
        "if True:",
        CACHE,
    ),
    Break(
        "a chunk of results that cannot be decoded is not left out",
        "batches/cache.py",
        """        except stores.StoreError:
            record.mark_incomplete()""",
        """        except stores.StoreError:
            pass""",
        CACHE,
    ),
    Break(
        "a usage window is not summed up by an old view",
        "usage/windows.py",
        "known_to_s = self.clock.now().timestamp() - view_delay_s",
        "known_to_s = self.clock.now().timestamp()",
        "tests.test_windows",
    ),
    Break(
        "a mirror does not overstate how current it is",
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
        "a node never reverts to an older configuration",
        "clusterstate.py",
        "not catalogue.is_newer(found, self.catalogue)",
        "False",
        SITE + "test_configurations.ConfigurationTest"
        ".test_older_or_unreadable_configuration_changes_nothing",
    ),
    Break(
        "no order is sent after the lease has expired",
        "storage/locks.py",
        "return self.clock.monotonic() < self.ends_at - safety_s",
        "return self.lease != stores.NO_LEASE",
        SITE + "test_versions.VersionTest"
        ".test_isolated_holder_gives_no_order_after_its_lease",
    ),
    Break(
        "a withdrawn key stops working on an isolated node",
        "readiness.py",
        "return is_alone and bool(self.peers.addresses())",
        "return False",
        SITE + "test_configurations.ConfigurationTest"
        ".test_isolated_node_stops_admitting",
    ),
    Break(
        "no request is refused because of an outdated configuration",
        "gateway/admission.py",
        "return self.find_staleness_error() or errors.ServiceError(code)",
        "return errors.ServiceError(code)",
        SITE + "test_configurations.StaleConfigurationTest",
    ),
    Break(
        "no batch is hidden by an outdated configuration",
        "gateway/callerservice.py",
        "            if (\n"
        "                staleness_error\n"
        "                and is_known\n"
        "                and e.code is errors.ResultCode.BATCH_UNKNOWN\n"
        "            ):\n",
        "            if False:\n",
        SITE + "test_configurations.StaleConfigurationTest",
    ),
    Break(
        "texts are resumed after a takeover",
        "batches/coordinator.py",
        "sample.events = self.partial_texts.pop(item.id, [])",
        "sample.events = []",
        SITE + "test_batches.BatchTest.test_texts_are_resumed_after_a_takeover",
    ),
    Break(
        "a draining server gets no new requests",
        "fleet/registry.py",
        "            and self.entry.state is ServerState.READY\n",
        "",
        SITE + "test_calls.CallTest.test_draining_server_gets_nothing_new",
    ),
    Break(
        "a batch that may be stored is not reported as refused",
        "batches/transactions.py",
        "    if may_have_run:\n        raise",
        "    if False:\n        raise",
        SITE + "test_submissions.SubmissionTest"
        ".test_batch_that_may_be_stored_is_not_reported_refused",
    ),
    Break(
        "a batch that has not ended is never removed",
        "batches/retention.py",
        "        if not self.batch_cache.has_end(batch_id):\n"
        "            return False\n",
        "",
        CACHE,
    ),
    Break(
        "an entry of another writer names no server",
        "platform/documents.py",
        "if found is None or not 0 < int(found[1]) <= MAX_PORT:",
        "if False:",
        SITE + "test_foreign_entries",
    ),
    Break(
        "an unreadable entry ends no node",
        "storage/decoding.py",
        "except Exception as e:",
        "except ValueError as e:",
        SITE + "test_foreign_entries",
    ),
    Break(
        "signals during a planned stop cut no request",
        "platform/process.py",
        "                stop_requested.set()\n",
        "                stop_requested.set()\n                return\n",
        SITE + "test_signals.PlannedStopTest",
    ),
    Break(
        "a batch of many values can be ended",
        "batches/transactions.py",
        "return stripping if stripping.fits(value_bytes) else end",
        "return stripping",
        SITE + "test_many_values",
    ),
    Break(
        "a write of results is within the store's limit",
        "batches/resultwriter.py",
        "size += records.encoded_bytes(sample.result)",
        "size += len(sample.result.text)",
        SITE + "test_large_texts",
    ),
    Break(
        "an answer that is broken off never looks complete",
        "web/worker.py",
        'if scope.get("http_version") == "1.0":',
        "if False:",
        SITE + "test_broken_answers.BrokenAnswerTest",
    ),
    Break(
        "a large answer is delivered once",
        "gateway/forwarder.py",
        'received, response.body = response.body, b""',
        "received = response.body",
        SITE + "test_broken_answers.WholeAnswerTest",
    ),
    Break(
        "status and headers are of one answer",
        "web/httpclient.py",
        "            framing.check_head(response)\n",
        "",
        SITE + "test_stuttering_servers.SecondHeadTest",
    ),
    Break(
        "a second answer does not become part of a body",
        "web/framing.py",
        "    return _search_for_heads(chunks)\n",
        "    return chunks\n",
        SITE + "test_stuttering_servers.UnframedTest",
    ),
    Break(
        "a repeated call does not get the first answer",
        "platform/servers.py",
        "                        response.retire_connection()\n",
        "                        pass\n",
        SITE + "test_stuttering_servers.SameIdTest",
    ),
    Break(
        "a path reaches a server as it was sent",
        "web/httpclient.py",
        'target=(request.path + query).encode("latin-1"),',
        'target=(request.path.partition(";")[0] + query).encode("latin-1"),',
        "tests.test_web_paths",
    ),
    Break(
        "only failures that a server reports fail a sample",
        "batches/scoring.py",
        "is_failure = status == FAILED_STATUS",
        "is_failure = True",
        SITE + "test_batches",
    ),
    Break(
        "an ended batch stays ended",
        "batches/cache.py",
        "            record.mark_ended()\n        self.records[batch_id]",
        "            pass\n        self.records[batch_id]",
        CACHE,
    ),
    Break(
        "a result is stored in its own batch only",
        "batches/coordinator.py",
        "key = (sample.record.batch.id, sample.id)",
        "key = next((k for k in self.copied_results if k[1] == sample.id), "
        "None)",
        SITE + "test_versions.VersionTest"
        ".test_result_of_an_ended_batch_is_not_used_for_another",
    ),
    Break(
        "a mirror that missed a change is reloaded",
        "storage/mirror.py",
        "elif now - self.differs_since > MAX_DIFFERENCE_S:",
        "elif False:",
        "tests.storage.test_mirror",
    ),
    Break(
        "a closed session holds no lease",
        "storage/locks.py",
        "while not self.is_closed:",
        "while True:",
        "tests.storage.test_session",
    ),
    Break(
        "a call that must not be retried runs at most once",
        "gateway/forwarder.py",
        "state.route.allows_retry()\n            and state.attempts",
        "state.attempts",
        SITE + "test_calls.CallTest.test_response_without_signature_or_id",
    ),
    Break(
        "usage counts are complete",
        "usage/windows.py",
        "            self.flushed[window] = counts\n"
        "            self.flushed_to[window] = IN_STORE\n",
        "            self.flushed[window] = self.counts[window]\n"
        "            self.flushed_to[window] = IN_STORE\n",
        "tests.test_windows",
    ),
    Break(
        "usage counts reach a new holder of the usage duty",
        "usage/windows.py",
        "is_unchanged and self.flushed_to[window] in (IN_STORE, holder)",
        "is_unchanged",
        "tests.test_windows",
    ),
    Break(
        "a new holder of the usage duty waits for resent counts",
        "usage/windows.py",
        "return now - self.acquired_at >= RESEND_WAIT_S",
        "return True",
        "tests.test_windows",
    ),
    Break(
        "an error on one connection does not affect others",
        "web/worker.py",
        "        except Exception as e:\n            _log_error(e)\n"
        "        except BaseExceptionGroup as group:",
        "        except ZeroDivisionError as group:",
        "tests.test_web_server.ConnectionTest",
    ),
    Break(
        "a batch item cannot set reserved headers",
        "platform/documents.py",
        "if n not in dropped}",
        "}",
        "tests.platform.test_documents",
    ),
    Break(
        "an abandoned request is not sent later",
        "web/httpclient.py",
        "    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),\n",
        "",
        "tests.test_web_server.HttpClientTest",
    ),
    Break(
        "a response without a request id is rejected",
        "platform/servers.py",
        "is_refusal_without_id = echoed is None and answer.not_executed",
        "is_refusal_without_id = echoed is None",
        SITE + "test_calls.CallTest.test_response_without_signature_or_id",
    ),
    Break(
        "a node's registration is written again if removed",
        "runtime.py",
        "self.registration.note_removed()",
        "pass",
        SITE + "test_lifecycle.RegistrationTest",
    ),
    Break(
        "a lease without users is not renewed",
        "storage/locks.py",
        "                if self.users:\n",
        "                if True:\n",
        "tests.storage.test_session",
    ),
    Break(
        "replication skips an unreachable node",
        "batches/samplereplication.py",
        "            self.note_failure(name)\n",
        "",
        SITE + "test_lifecycle.SuccessionTest",
    ),
    Break(
        "an unknown weight version is read from the server's status",
        "batches/generation.py",
        "            server.versions.update(status.versions)\n",
        "            del status\n",
        SITE + "test_versions.VersionTest",
    ),
    Break(
        "the figures of a window are fixed before they are sent",
        "usage/windows.py",
        "stores.Transaction([condition], [put], removals)",
        "stores.Transaction([], [put], removals)",
        "tests.test_windows",
    ),
    Break(
        "an accepted window is not reported again",
        "usage/windows.py",
        "        self.reported.add(window)\n"
        "        events.log(\n"
        "            events.Event.USAGE_REPORTED",
        "        events.log(\n            events.Event.USAGE_REPORTED",
        "tests.test_windows",
    ),
    Break(
        'a request refused as "not run" has not run',
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
        "no text is generated with outdated weights",
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
        "only a successful response gives a score",
        "batches/scoring.py",
        'score = response.signature if response.status < 300 else ""',
        "score = response.signature",
        SITE + "test_batches",
    ),
    Break(
        "a batch is visible to its organisation only",
        "batches/cache.py",
        "if record is None or record.batch.organisation != organisation:",
        "if record is None:",
        SITE + "test_submissions",
    ),
    Break(
        "an accepted batch is in the store",
        "batches/transactions.py",
        "            return await store.commit(transaction)",
        "            return 1",
        SITE + "test_submissions",
    ),
    Break(
        "all samples of an ended batch are cancelled",
        "batches/coordinator.py",
        "        for sample in progress.samples.values():\n"
        "            sample.scope.cancel()\n",
        "        for sample in progress.samples.values():\n",
        SITE + "test_batches",
    ),
    Break(
        "a batch that may exist is not reported as unknown",
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
        "a planned stop hands over all partial texts",
        "leadership.py",
        "            await self.replicator.hand_over()\n"
        "        self.coordinator.set_active(self.model, False)\n",
        "            self.coordinator.set_active(self.model, False)\n"
        "            await self.replicator.hand_over()\n",
        SITE + "test_lifecycle",
    ),
    Break(
        "samples are resumed at once after a planned stop",
        "leadership.py",
        "if holder == self.takeover_source and now < self.takeover_until:",
        "if False:",
        SITE + "test_lifecycle.RollingStopTest",
    ),
    Break(
        "a server that reports its shutdown gets no new requests",
        "fleet/registry.py",
        "            and not self.is_leaving\n",
        "",
        SITE + "test_leaving",
    ),
    Break(
        "a repeated entry of a leaving server changes nothing",
        "fleet/registry.py",
        "self.leaving_starts.get(entry.id) == entry.start_ms",
        "False",
        SITE + "test_leaving",
    ),
    Break(
        "a shutdown notice from another server is ignored",
        "platform/servers.py",
        "if response.status != 421 or answered_by == server.id:",
        "if True:",
        SITE + "test_leaving",
    ),
    Break(
        "endless response headers time out",
        "web/httpclient.py",
        "with trio.move_on_after(connect_s + timeout_s) as scope:",
        "with trio.CancelScope() as scope:",
        SITE + "test_endless.EndlessTest.test_status_and_order_end_in_time",
    ),
    Break(
        "an endless response body uses bounded memory",
        "gateway/forwarder.py",
        "await response.read_at_most(MAX_BUFFERED_BYTES)",
        "await response.read_at_most(None)",
        SITE + "test_endless",
    ),
    Break(
        "an endless event uses bounded memory",
        "platform/servers.py",
        "if len(pending) > MAX_EVENT_BYTES:",
        "if False:",
        SITE + "test_endless",
    ),
    Break(
        "generation of an endless text is stopped",
        "batches/generation.py",
        "if size > MAX_TEXT_BYTES or sample.exceeds_token_limit():",
        "if False:",
        SITE + "test_endless",
    ),
    Break(
        "a response that is held as a whole has a size limit",
        "web/httpclient.py",
        "if not await response.read_at_most(max_bytes):",
        "if not await response.read_at_most(None):",
        "tests.test_endless_responses.WholeResponseTest",
    ),
    Break(
        "a response of thousands of headers is invalid",
        "web/httpclient.py",
        "if len(response.headers) > MAX_HEADERS:",
        "if False:",
        SITE + "test_endless",
    ),
    Break(
        "an engine's endless line uses bounded memory",
        "serving/generation.py",
        "if size > max_bytes:",
        "if False:",
        "tests.test_endless_responses.EngineResponseTest",
    ),
    Break(
        "a stalled stream ends at its deadline",
        "gateway/responsestream.py",
        "max(0.0, until - clock.monotonic())",
        "max(0.0, 60 + until - clock.monotonic())",
        SITE + "test_slow",
    ),
    Break(
        "slow engines get the time to finish their texts",
        "batches/generation.py",
        "base_s * 2**sample.idle_timeouts",
        "base_s",
        SITE + "test_slow",
    ),
    Break(
        "a late duplicate response settles no order",
        "platform/servers.py",
        "if names.SIGNATURE in response.headers:",
        "if False:",
        SITE + "test_leaving",
    ),
    Break(
        "a starting node reads the data needed for calls first",
        "batches/cache.py",
        "        mirror.defer_prefix(records.PREFIX)\n",
        "",
        SITE + "test_thundering_herd",
    ),
    Break(
        "the request bodies of an ended batch are removed",
        "batches/transactions.py",
        "for number in range(parts):",
        "for number in range(0):",
        SITE + "test_thundering_herd",
    ),
    Break(
        "the samples of a failed node are resumed quickly",
        "leadership.py",
        "if self._is_overdue(holder):",
        "if False:",
        SITE + "test_lifecycle.LostHolderTest",
    ),
    Break(
        "a reachable node keeps its samples",
        "fleet/peers.py",
        "            await self.client.probe(address)\n",
        '            raise calls.PeerError("", True)\n',
        SITE + "test_lifecycle.LostHolderTest",
    ),
    Break(
        "nothing is sent to the cloud after the lease has expired",
        "platform/cloud.py",
        "        request.before_send = holder.check\n",
        "",
        SITE + "test_lease_expiry",
    ),
    Break(
        "no order is sent to an engine after the lease has expired",
        "platform/servers.py",
        "        request.before_send = order.holder.check\n",
        "",
        SITE + "test_lease_expiry",
    ),
    Break(
        "a request received during a stop is answered",
        "web/watchedstream.py",
        "return not self.has_bytes and self.close_unless_handling()",
        "return self.evict() is None",
        "tests.test_web_connections.StopTest",
    ),
    Break(
        "a request received at the idle time-out is answered",
        "web/watchedstream.py",
        "if data and not self.has_bytes:",
        "if False:",
        "tests.test_web_connections.IdleTest",
    ),
    Break(
        "endless request headers time out",
        "web/worker.py",
        "if stream.has_bytes and waited_s > allowed.header_timeout_s:",
        "if False:",
        "tests.test_web_connections.IdleTest",
    ),
    Break(
        "request limits come from the configuration",
        "runtime.py",
        "allowed = configured.limits if configured else catalogue.Limits()",
        "allowed = catalogue.Limits()",
        SITE + "test_configurations.LimitsTest",
    ),
    Break(
        "texts of two runs are never combined",
        "peering/replication.py",
        "return is_next and self.before == digest(known)",
        "return is_next",
        SITE + "test_replication",
    ),
    Break(
        "no call of an ended batch is sent with an outdated view",
        "batches/sendguard.py",
        "if not self.view.is_current():",
        "if False:",
        SITE + "test_ended",
    ),
    Break(
        "an item is not sent if its batch ends during the connect",
        "batches/sendguard.py",
        "if not sample.record.is_open():",
        "if False:",
        SITE + "test_ended",
    ),
    Break(
        "items continue while no node reaches the store",
        "storage/view.py",
        "was_old = peer_cut_off_at",
        "was_old = False and peer_cut_off_at",
        "tests.storage.test_view",
    ),
    Break(
        "concurrent failures do not count as consecutive",
        "fleet/registry.py",
        "if now < self.ejected_until:",
        "if False:",
        "tests.test_server_registry",
    ),
    Break(
        "timed-out calls count in the latency estimate",
        "gateway/forwarder.py",
        "self._update_latency(state.service, timeout_s)",
        "pass",
        SITE + "test_overload",
    ),
    Break(
        "queueing does not shorten the time-out of a scoring call",
        "gateway/forwarder.py",
        "    if inbound.is_background:\n        return inbound.timeout_s\n",
        "",
        SITE + "test_overload",
    ),
    Break(
        "a rewritten specification is not a new batch",
        "batches/cache.py",
        "is_new = entry.created == entry.revision",
        "is_new = True",
        CACHE,
    ),
    Break(
        "no request starts in an evacuated zone",
        "fleet/eligibility.py",
        "if server.is_evacuated():",
        "if False:",
        SITE + "test_evacuation",
    ),
    Break(
        "an evacuation is known before the first request",
        "fleet/evacuation.py",
        " or not self.is_read()",
        "",
        SITE + "test_evacuation",
    ),
    Break(
        "no server is ordered in an evacuated zone",
        "capacity/autoscaler.py",
        "unavailable |= self.servers.evacuations.zones()",
        "pass",
        SITE + "test_evacuation",
    ),
    Break(
        "shares of partitioned nodes fit the limit of a cold server",
        "fleet/coldshares.py",
        "CONCURRENT_LISTS = 2",
        "CONCURRENT_LISTS = 1",
        "tests.test_cold_servers",
    ),
    Break(
        "shares of nodes with older views fit the limit",
        "fleet/coldshares.py",
        "SETTLE_S = 4.0",
        "SETTLE_S = 0.0",
        "tests.test_cold_servers",
    ),
    Break(
        "the limit of a cold server holds in any second",
        "fleet/warmup.py",
        "self.sent_at[0] <= now - WINDOW_S",
        "int(self.sent_at[0]) < int(now)",
        "tests.test_cold_servers",
    ),
    Break(
        "a server is cold after the evacuation of its zone",
        "fleet/eligibility.py",
        "self.servers.evacuations.ended_at.get(server.entry.zone)",
        "None",
        "tests.test_cold_servers",
    ),
    Break(
        "samples run in allowed regions only",
        "batches/placement.py",
        "if not residency.allows(waiting.zones, server.entry.zone):",
        "if False:",
        SITE + "test_regions",
    ),
    Break(
        "scoring calls go to allowed regions only",
        "batches/scoring.py",
        "on_behalf_of=sample.record.batch.organisation",
        'on_behalf_of=""',
        SITE + "test_regions",
    ),
    Break(
        "a request under which three servers ended is blocked",
        "crashes/records.py",
        "return len(self.crashes) >= BLOCKING_CRASHES",
        "return False",
        "tests.test_crash_records",
    ),
    Break(
        "a request that a server answered is not blocked",
        "crashes/records.py",
        "if crash.ended_ms > cleared_ms",
        "if crash.ended_ms",
        "tests.test_crash_records",
    ),
    Break(
        "a connection that was reset is no crash",
        "crashes/verification.py",
        "return True if is_listening is False else None",
        "return True",
        SITE + "test_crashing_requests",
    ),
    Break(
        "crashes are known to other nodes while the store is silent",
        "crashes/sharing.py",
        "MAX_RECORDS_PER_MESSAGE = 50",
        "MAX_RECORDS_PER_MESSAGE = 0",
        SITE + "test_crashing_requests",
    ),
    Break(
        "crashes are known to a node that starts after all others ended",
        "crashes/sharing.py",
        "MIN_STORED_CRASHES = 2",
        "MIN_STORED_CRASHES = 99",
        SITE + "test_crashing_requests",
    ),
    Break(
        "results received before a load are returned",
        "batches/cache.py",
        "return any(position >= len(record.results) for position in positions)",
        "return False",
        CACHE,
    ),
    Break(
        "a reader gets the results of an evicted batch",
        "batches/cache.py",
        "self.records.pop(batch_id).mark_incomplete()",
        "self.records.pop(batch_id)",
        CACHE,
    ),
    Break(
        "an ended batch is confirmed before it lacks results",
        "batches/record.py",
        "self.is_ended and not self.is_end_confirmed",
        "False",
        CACHE,
    ),
    Break(
        "a record that is not confirmed confirms no other one",
        "batches/cache.py",
        "await self.fetcher.refresh_from_store(record)",
        "return record.is_current",
        CACHE,
    ),
)
