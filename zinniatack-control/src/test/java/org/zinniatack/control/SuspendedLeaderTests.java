package org.zinniatack.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.job.JobRetentionPolicy;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.store.ReplicaStore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of three replicas of which the VM of the leader is suspended.
 */
class SuspendedLeaderTests {

	private static final long TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 5;

	private final Map<String, ReplicaDriver> driversById = new ConcurrentHashMap<>();

	private final Map<String, SuspendableClock> clocksById = new ConcurrentHashMap<>();

	/** The replicas that no message reaches or leaves. */
	private final Set<String> cutOff = ConcurrentHashMap.newKeySet();

	private final ScheduledExecutorService network = Executors.newSingleThreadScheduledExecutor();

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		List<ReplicaStore> stores = new ArrayList<>();
		for (String name : List.of("a", "b", "c")) {
			stores.add(ReplicaStore.open(this.folder.resolve(name), name));
		}
		Membership voters = Membership.ofVoters(stores.stream().map(ReplicaStore::replicaId).toList());
		for (ReplicaStore store : stores) {
			store.initialize(PersistentState.bootstrap(voters));
			SuspendableClock clock = new SuspendableClock();
			this.clocksById.put(store.replicaId(), clock);
			this.driversById.put(store.replicaId(), new ReplicaDriver(store, store.load(), clock, clock::wallMs,
					-TIMEOUT_MS, VoterLimits.of(3), this::deliver, (state) -> {
					}, SnapshotPolicy.proportional(),
					new StateBudget(1L << 40, Integer.MAX_VALUE, Integer.MAX_VALUE, new JobRetentionPolicy(TIMEOUT_MS)),
					(task, failure) -> {
					}));
		}
		this.driversById.values().forEach(ReplicaDriver::start);
	}

	@AfterEach
	void stop() {
		this.driversById.values().forEach(ReplicaDriver::stop);
		this.network.shutdownNow();
	}

	private void deliver(ConsensusMessage message) {
		if (!this.cutOff.contains(message.from()) && !this.cutOff.contains(message.to())) {
			this.network.execute(() -> this.driversById.get(message.to()).receive(message));
		}
	}

	private String awaitLeaderOtherThan(String excludedId) throws InterruptedException {
		long startedNs = System.nanoTime();
		while (true) {
			Optional<String> leader = this.driversById.keySet()
				.stream()
				.filter((id) -> !id.equals(excludedId) && this.driversById.get(id).leading().isPresent())
				.findFirst();
			if (leader.isPresent()) {
				return leader.get();
			}
			assertThat("a leader in time", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) < TIMEOUT_MS,
					is(true));
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	private void accept(String leaderId, long tableNumber) throws Exception {
		this.driversById.get(leaderId)
			.propose(new Command.ReplaceTable(new RoutingTable(tableNumber, List.of(), Map.of(), List.of(),
					new CallerLimits(1024, 1024, 1_000, 1_000)), new byte[0]))
			.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	// Guards against an older configuration that is read from a leader that was replaced
	// while its VM was suspended: its own clock says that its lease is still valid.
	@Test
	void aLeaderThatWasSuspendedWithItsMonotonicClockAnswersNoReadOnceAnotherHasAcceptedAChange() throws Exception {
		String suspended = awaitLeaderOtherThan("");
		accept(suspended, 1);
		this.cutOff.add(suspended);
		this.clocksById.get(suspended).suspend();
		String successor = awaitLeaderOtherThan(suspended);
		accept(successor, 2);
		this.clocksById.get(suspended).resume();
		Optional<ReplicaStatus> asSeenByARead = this.driversById.get(suspended).leading();
		assertThat(asSeenByARead.map(ReplicaStatus::term), is(Optional.empty()));
	}

}
