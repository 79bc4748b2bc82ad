"""Checks that the scenarios detect the removal of guards in the code.

A guard is a statement that prevents one kind of fault. Each mutation removes
one guard in a temporary copy of the code and runs one feature. The mutation
passes if at least one scenario fails or the feature times out. It fails if all
scenarios pass, because then none of them depends on the guard, or if the module
does not have the code of the guard exactly once. The last line of the output is
`N passed, N failed` and counts mutations.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_PARALLEL_MUTATIONS = 4
FEATURE_TIMEOUT_S = 240
COPIED_DIRECTORIES = ('hemlockgrade', 'features', 'standins', 'docs')
FAILING_SCENARIO = re.compile(r'^  features/\S+  (.*)$', re.MULTILINE)


@attrs.frozen(kw_only=True)
class Mutation:
    """Removal of one guard.

    Attributes:
        guard: Describes what the guard ensures.
        module: File that has the guard, relative to `hemlockgrade/`.
        old: Code of the guard.
        new: Code that replaces the guard.
        feature: Name of the feature whose scenarios have to fail.
    """

    guard: str
    module: str
    old: str
    new: str
    feature: str


MUTATIONS = (
    Mutation(
        guard='a request that may run once overlaps no other',
        module='http_server.py',
        old='            and self._may_overlap(item)\n',
        new='',
        feature='pipelining',
    ),
    Mutation(
        guard='the overlapping requests of a connection are bounded',
        module='http_server.py',
        old=(
            '            len(self._exchanges) < MAX_OVERLAPPING_REQUESTS\n'
            '            and '
        ),
        new='            ',
        feature='pipelining',
    ),
    Mutation(
        guard='large bodies are paced',
        module='outgoing_body.py',
        old='        if not is_paced and not self._waiting:',
        new='        if not self._waiting:',
        feature='shared_link',
    ),
    Mutation(
        guard='a stream is paused while its bytes wait for the link',
        module='outgoing_body.py',
        old=(
            'self._transfer.is_paused or len(self._waiting) > MAX_WAITING_BYTES'
        ),
        new='self._transfer.is_paused',
        feature='shared_link',
    ),
    Mutation(
        guard='a body that broke off is not completed',
        module='outgoing_body.py',
        old=(
            '        if not complete:\n'
            '            self._end(complete=False)\n            return\n'
        ),
        new='',
        feature='shared_link',
    ),
    Mutation(
        guard='a download that the link cannot carry in time is refused',
        module='admission.py',
        old='deadline=deadline - send_s,',
        new='deadline=deadline,',
        feature='shared_link',
    ),
    Mutation(
        guard='a server refuses a wait that is longer than elsewhere',
        module='limits.py',
        old='if wait_s > request.max_wait_s:',
        new='if wait_s < 0:',
        feature='placement',
    ),
    Mutation(
        guard='calls of running requests go first',
        module='limits.py',
        old='return not request.is_nested, request.priority',
        new='return False, request.priority',
        feature='placement',
    ),
    Mutation(
        guard='service times are known by route',
        module='limits.py',
        old='return self.service_s if mean is None else mean.seconds',
        new='return self.service_s',
        feature='placement',
    ),
    Mutation(
        guard=(
            'a request leaves its failure domain if only that makes it on time'
        ),
        module='placement.py',
        old=(
            '    return not _is_likely(home, on_time_s) and '
            '_is_likely(away, on_time_s)'
        ),
        new='    return False',
        feature='placement',
    ),
    Mutation(
        guard='a split begins at a random place',
        module='directory.py',
        old=(
            '            self._round_robin.skip(weights, '
            'random.randrange(MAX_SKIPPED))\n'
        ),
        new='',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a split needs a weight above 0',
        module='platform/codec.py',
        old='    if not any(share.weight for share in shares):',
        new='    if shares is None:',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a daemon that is behind reads the newest configuration only',
        module='watcher.py',
        old='if self.skips_versions and len(changes.changes) > 1:',
        new='if not self.kind:',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a configuration is not replaced by an older one',
        module='directory.py',
        old='        if new.version <= before:\n            return False\n',
        new='',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a later rollout does not use the outcome of an earlier one',
        module='selectors.py',
        old='share.order_revision != definition.revision',
        new='False',
        feature='configuration',
    ),
    Mutation(
        guard='a route for a host name precedes the routes of selectors',
        module='directory.py',
        old='            if entry is not None:\n                return entry\n'
        '        # Prefixes',
        new='        # Prefixes',
        feature='configuration',
    ),
    Mutation(
        guard='a late heartbeat does not undo a deregistration',
        module='registrar.py',
        old='if old.state is model.ServerState.GONE:',
        new='if False:',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a server check confirms only the server that was checked',
        module='registrar.py',
        old='if self.server != server or self.confirmed:',
        new='if self.confirmed:',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a response to another request is dropped',
        module='upstream.py',
        old='not self._request_id or response_id in (None, self._request_id)',
        new='True',
        feature='mesh_processes',
    ),
    Mutation(
        guard='the chunks of responses are read at a limited rate',
        module='upstream.py',
        old='if parts <= FREE_BODY_PARTS or not self.usable:',
        new='if parts:',
        feature='request_path',
    ),
    Mutation(
        guard='a stream of small chunks stays paused while its reader waits',
        module='upstream.py',
        old='if self.usable and not self._is_paused:',
        new='if self.usable:',
        feature='request_path',
    ),
    Mutation(
        guard='a connection is closed after a failed request',
        module='upstream.py',
        old='_discard(connection, response_future)\n            raise',
        new='raise',
        feature='request_path',
    ),
    Mutation(
        guard='a response lost after a byte was sent is not called a refusal',
        module='admission.py',
        old='            return peer_protocol.unknown_outcome_response('
        'str(error.args[0]))',
        new='            return peer_protocol.refusal_response('
        'peer_protocol.Refusal.SHED)',
        feature='request_path',
    ),
    Mutation(
        guard='an attempt that may run once is recorded before it is sent',
        module='admission.py',
        old='before_write=(lambda: self._record_attempt(admitted))\n'
        '            if run_once\n            else None',
        new='before_write=None',
        feature='request_path',
    ),
    Mutation(
        guard='a non-idempotent request is fenced before it is sent again',
        module='sender.py',
        old='return result is ledger.FenceResult.NEVER_SEEN',
        new='return True',
        feature='request_path',
    ),
    Mutation(
        guard='response headers of a server cannot forge an outcome',
        module='admission.py',
        old='response.headers = '
        'http_codec.without_internal_headers(response.headers)',
        new='pass',
        feature='request_path',
    ),
    Mutation(
        guard='a draining limiter admits no new request',
        module='limits.py',
        old="        if self.draining:\n            raise refusal_error('the",
        new="        if False:\n            raise refusal_error('the",
        feature='limits',
    ),
    Mutation(
        guard='a queued request is refused once it cannot end by its deadline',
        module='plugins/slot_limiter.py',
        old='refuse_at = self._queue.latest_start(request)',
        new='refuse_at = deadline',
        feature='limits',
    ),
    Mutation(
        guard='a shutdown waits for the requests in flight',
        module='in_flight.py',
        old='        while self.count:',
        new='        while False:',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a stopping daemon refuses what may outlast it',
        module='shutdown.py',
        old='return now < self.open_until or self.completes(deadline)',
        new='return True',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a stopping daemon refuses what may outlast it, of peers',
        module='admission.py',
        old='if not admission.shutdown.completes(deadline):',
        new='if False:',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a stopping daemon accepts what waits when its listener closes',
        module='listeners.py',
        old='reactor.callLater(0, _accept_waiting, listener)',
        new='pass',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a stopping daemon answers the requests that it interrupts',
        module='drain.py',
        old='self.on_interrupt()',
        new='pass',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a late cancellation does not close the next request',
        module='upstream.py',
        old='    stream = response_future.result().stream\n',
        new='    connection.abort()\n'
        '    stream = response_future.result().stream\n',
        feature='request_path',
    ),
    Mutation(
        guard='an object is read back after a write whose response was lost',
        module='definition_store.py',
        old='        if current is not None and _is_same_change(current, new):',
        new='        if False:',
        feature='system_platform',
    ),
    Mutation(
        guard='another failure domain is used if the own servers fail',
        module='placement.py',
        old='    if home.is_failing:\n        return True\n',
        new='',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a call of a repeated run uses the retry budget',
        module='proxy.py',
        old='if call.sent_by_repeat and not budget.take_for_nested():',
        new='if False:',
        feature='nested_requests',
    ),
    Mutation(
        guard='a run whose call was refused is not repeated',
        module='proxy.py',
        old='            and not nested_refused\n',
        new='',
        feature='nested_requests',
    ),
    Mutation(
        guard='a request that a server answers with 421 counts as sent',
        module='peer_protocol.py',
        old='return self in (Refusal.SHED, Refusal.MISDIRECTED)',
        new='return self is Refusal.SHED',
        feature='request_path',
    ),
    Mutation(
        guard='the limit of a server is kept by the daemon beside it',
        module='server_limit.py',
        old='return self._missing_requests(priority, waiting, now) <= 0',
        new='return True',
        feature='server_notices',
    ),
    Mutation(
        guard='a restarted daemon uses the limit that its peers send',
        module='admission.py',
        old='        admission.adopt_limit(limit)\n',
        new='        pass\n',
        feature='server_notices',
    ),
    Mutation(
        guard='a leaving server is refused by the daemon beside it',
        module='admission.py',
        old='            self.registrar.start_draining(server)\n',
        new='            pass\n',
        feature='server_notices',
    ),
    Mutation(
        guard='a leaving server is avoided by the daemons that know',
        module='sender.py',
        old='peer.server_leaves = True',
        new='pass',
        feature='server_notices',
    ),
    Mutation(
        guard='a limit that is named during the wait for a slot is kept',
        module='admission.py',
        old='        if not self.limit.admits(0, 0, self.clock()):\n',
        new='        if False:\n',
        feature='server_notices',
    ),
    Mutation(
        guard='a fence names the process to which the attempt was sent',
        module='sender.py',
        old='(peer_protocol.BOOT_ID_HEADER, boot_id.encode())',
        new='(peer_protocol.BOOT_ID_HEADER, peer.member.boot_id.encode())',
        feature='retries',
    ),
    Mutation(
        guard='waiting requests are refused when their server leaves',
        module='admission.py',
        old='        limiter.drain()\n',
        new='',
        feature='leaving_server',
    ),
    Mutation(
        guard='the new state of the server decides after the wait for a slot',
        module='admission.py',
        old='            if self._is_limiter_of_ready_server(limiter):\n',
        new='            if True:\n',
        feature='leaving_server',
    ),
    Mutation(
        guard='the state of the server is read before a request is written',
        module='admission.py',
        old='        if not self._is_ready(admitted.server):\n',
        new='        if False:\n',
        feature='leaving_server',
    ),
    Mutation(
        guard='the fields of an entry have their types',
        module='object_codec.py',
        old='        object_checks.check_types(data, encode(value))\n',
        new='',
        feature='foreign_entries',
    ),
    Mutation(
        guard='the name of an entry is that of its content',
        module='object_codec.py',
        old='        if key_of(value) != name:\n',
        new='        if False:\n',
        feature='foreign_entries',
    ),
    Mutation(
        guard='names are percent-encoded in calls to the store',
        module='platform/store.py',
        old="return f'{kind}/{http_codec.quote(name)}'",
        new="return f'{kind}/{name}'",
        feature='foreign_entries',
    ),
    Mutation(
        guard='a lagging watch response moves the watch to its data only',
        module='watcher.py',
        old='        if not may_lag:\n            self.advance(',
        new='        if True:\n            self.advance(',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a lagging list moves the watch to its data only',
        module='watcher.py',
        old='            self.advance(listed)\n',
        new='            self.advance(listing.revision)\n',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a daemon without a recent confirmation reads the store',
        module='configuration_check.py',
        old='if not self.feed.gets_configurations or now < self._next_read_at:',
        new='if True:',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a read on a new connection uses no open one',
        module='platform/store.py',
        old='                if limits.new_connection\n',
        new='                if False\n',
        feature='store_client',
    ),
    Mutation(
        guard='a confirmation of a version that is not in force does not count',
        module='freshness.py',
        old='        if new.version > self.directory.configuration_version:\n',
        new='        if False:\n',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='the daemons of a failure domain ask the store through one',
        module='configuration_check.py',
        old=(
            '            await self._compare(source)\n'
            '            if self._is_recent:\n'
            '                return\n'
        ),
        new='            await self._compare(source)\n',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='the pause after a failed read counts from its start',
        module='configuration_check.py',
        old='self._next_read_at = now + delay_s * self._jitter()',
        new='self._next_read_at = self.freshness.clock() + 2 * delay_s',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a daemon with an unconfirmed configuration denies no route',
        module='proxy.py',
        old='if self.configuration_age_s() > freshness.APPLY_LIMIT_S:',
        new='if False:',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a call after a failed one uses no connection that was open then',
        module='upstream.py',
        old='max_idle_s=min(max_idle_s, loop.time() - failed_at),',
        new='max_idle_s=max_idle_s,',
        feature='store_client',
    ),
    Mutation(
        guard='a response that has begun is not cut off while bytes arrive',
        module='object_store.py',
        old='            deadline=starts_by + MAX_TRANSFER_S,',
        new='            deadline=starts_by,',
        feature='store_client',
    ),
    Mutation(
        guard='a response that pauses is given up',
        module='upstream.py',
        old='        elif self._max_pause_s is not None:\n',
        new='        elif False:\n',
        feature='store_client',
    ),
    Mutation(
        guard='several versions of a large configuration are not read',
        module='platform/store.py',
        old='                max_bytes=max_bytes,\n',
        new='',
        feature='store_client',
    ),
    Mutation(
        guard='a watch waits for the end of a read',
        module='watcher.py',
        old=(
            '        async with self._read_lock:\n'
            '            # Waits for the end of a read beside this watch.\n'
        ),
        new='        if True:\n',
        feature='store_client',
    ),
    Mutation(
        guard='no peer is asked for a configuration while one arrives',
        module='state_sync.py',
        old='need is _Need.CONFIGURATION and self.is_receiving_configuration()',
        new='False',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a wanted version is not read while a configuration arrives',
        module='configuration_check.py',
        old=(
            '        if self.feed.is_receiving_configuration:\n'
            '            return None\n'
        ),
        new='',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='mesh objects are fetched without the configuration',
        module='state_sync.py',
        old='            await self.fetch_state(address, need.state_part)',
        new='            await self.fetch_state(address)',
        feature='configuration_freshness',
    ),
    Mutation(
        guard='a cold server is limited to its warm-up rate',
        module='admission.py',
        old='                self.registrar.cold_until,\n',
        new='                -math.inf,\n',
        feature='warm_up',
    ),
    Mutation(
        guard='a server that refuses connections may return cold',
        module='admission.py',
        old=(
            '            self.registrar.suspect_cold()\n'
            '            return peer_protocol'
        ),
        new='            return peer_protocol',
        feature='warm_up',
    ),
    Mutation(
        guard='the limit of a cold server begins without saved requests',
        module='server_limit.py',
        old='        self._bucket.spend(burst - min(saved, burst), now)\n',
        new='',
        feature='warm_up',
    ),
    Mutation(
        guard='servers of an evacuated failure domain are not chosen',
        module='plugins/zone_balancer.py',
        old='            and p.member.zone not in evacuated\n',
        new='',
        feature='evacuation',
    ),
    Mutation(
        guard='the daemon beside an evacuated server refuses requests',
        module='admission.py',
        old='        return None if self.is_evacuated() else self.registrar',
        new='        return self.registrar',
        feature='evacuation',
    ),
    Mutation(
        guard='requests do not wait for an evacuated server',
        module='admission.py',
        old='            self._limiter.refuse_queued()\n',
        new='',
        feature='evacuation',
    ),
    Mutation(
        guard='a key is served only with a recent proof',
        module='access.py',
        old='    if organisation is not None and knowledge.proves_keys:\n',
        new='    if organisation is not None:\n',
        feature='organisations',
    ),
    Mutation(
        guard='an unknown key is denied only with recent knowledge',
        module='access.py',
        old='    if organisation is None and knowledge.proves_absence:\n',
        new='    if organisation is None:\n',
        feature='organisations',
    ),
    Mutation(
        guard='the key and the claimed name do not reach servers',
        module='access.py',
        old='if item[0] not in replaced]',
        new='if item]',
        feature='organisations',
    ),
    Mutation(
        guard='a suspension drops the proofs from before',
        module='freshness.py',
        old='        self.confirmed_at = -math.inf\n        self._pending',
        new='        self._pending',
        feature='organisations',
    ),
    Mutation(
        guard='only the own host sends nested requests without a key',
        module='proxy.py',
        old='            and request.source_ip != self.own_ip\n',
        new='            and not self.own_ip\n',
        feature='organisations',
    ),
    Mutation(
        guard='a status that does not exist is no response',
        module='http_codec.py',
        old='        self._check_status()\n',
        new='',
        feature='response_status',
    ),
    Mutation(
        guard='a daemon that hears of nobody admits its usual part of a cap',
        module='usage_cap.py',
        old='        elif self._bucket is None:\n',
        new='        elif self._bucket is None and not standing.is_isolated:\n',
        feature='usage_caps',
    ),
    Mutation(
        guard='a debt of a cap is repaid within the window',
        module='usage_cap.py',
        old='            DRAIN_S if self._level > 0 else REPAY_S\n',
        new='            1000.0\n',
        feature='usage_caps',
    ),
    Mutation(
        guard='requests that have not been answered hold bounded memory',
        module='intake.py',
        old='        if self.held_bytes > self.max_bytes and',
        new='        if self.held_bytes < 0 and',
        feature='uncontrolled_clients',
    ),
    Mutation(
        guard='a refused request gives its memory back at once',
        module='http_server.py',
        old=(
            '        self._input_ended = True\n        self._parser.discard()\n'
        ),
        new='        self._input_ended = True\n',
        feature='uncontrolled_clients',
    ),
    Mutation(
        guard='a former parent does not count a child any more',
        module='usage_exchange.py',
        old='            chosen.insert(0, (Kind.FORMER_PARENT, former))\n',
        new='            pass\n',
        feature='usage_caps',
    ),
)


def main() -> int:
    """Runs all mutations and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--only',
        default='',
        help='run only guards whose description contains this text',
    )
    options = parser.parse_args()
    selected_mutations = [m for m in MUTATIONS if options.only in m.guard]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MUTATIONS) as pool:
        detected = list(pool.map(_is_detected, selected_mutations))
    print(f'{sum(detected)} passed, {len(detected) - sum(detected)} failed')
    return 0 if all(detected) else 1


def _is_detected(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as directory:
        copy = pathlib.Path(directory)
        for name in COPIED_DIRECTORIES:
            shutil.copytree(ROOT / name, copy / name)
        module = copy / 'hemlockgrade' / mutation.module
        text = module.read_text()
        if text.count(mutation.old) != 1:
            print(
                f'{mutation.module} does not have the guard code exactly once'
            )
            return False
        module.write_text(text.replace(mutation.old, mutation.new))
        failing = _failing_scenarios(copy, mutation.feature)
    print(
        f'without "{mutation.guard}": '
        + ('; '.join(failing) or 'NOTHING FAILS'),
        flush=True,
    )
    return bool(failing)


def _failing_scenarios(copy: pathlib.Path, feature: str) -> list[str]:
    command = ['-m', 'behave', '--format=progress', '--stop']
    try:
        process = subprocess.run(
            [sys.executable, *command, f'features/{feature}.feature'],
            cwd=copy,
            env={**os.environ, 'PYTHONPATH': str(copy)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return [f'{feature}.feature did not end within {FEATURE_TIMEOUT_S} s']
    return FAILING_SCENARIO.findall(process.stdout)


if __name__ == '__main__':
    sys.exit(main())
