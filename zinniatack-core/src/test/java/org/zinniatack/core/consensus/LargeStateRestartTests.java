package org.zinniatack.core.consensus;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.zinniatack.core.consensus.SimulatedCluster.Defect;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Pattern: as many disks are lost as the system tolerates while all other machines lose
 * power, and the snapshot fills the links for seconds.
 */
class LargeStateRestartTests {

	private static final int SEED_COUNT = 10;

	/** A link of 64 Mbit/s. */
	private static final long LINK_BYTES_PER_MS = 8_000;

	private static final long SNAPSHOT_BYTES = 24L * 1024 * 1024;

	private static final int COMMAND_BYTES = 4 * 1024;

	private static final long WARM_UP_MS = 2_000;

	private static final long STARTUP_MS = 600;

	private static final long LEASE_LIMIT_MS = 3_000;

	/** The snapshot to each of three followers takes nine seconds of a leader's link. */
	private static final long TRANSFER_LIMIT_MS = 30_000;

	private static final long STEPS_PER_SECOND = 100;

	private static SimulatedCluster startCluster(long seed, int size) {
		SimulatedCluster cluster = new SimulatedCluster(seed, size, Defect.NONE);
		cluster.carryLargeState(LINK_BYTES_PER_MS, SNAPSHOT_BYTES, COMMAND_BYTES);
		cluster.runWithoutFaults(WARM_UP_MS);
		return cluster;
	}

	private static void checkOneLeaderStays(SimulatedCluster cluster, long leaseLimitMs, String situation) {
		long startedMs = cluster.nowMs() + STARTUP_MS;
		long term = -1;
		long withLease = 0;
		long steps = 0;
		int changes = -1;
		long firstLeaseMs = Long.MAX_VALUE;
		while (cluster.nowMs() < startedMs + TRANSFER_LIMIT_MS) {
			long found = cluster.stepAndFindLease();
			if (found >= 0 && found != term) {
				term = found;
				changes++;
				firstLeaseMs = Math.min(firstLeaseMs, cluster.nowMs() - startedMs);
			}
			steps += (changes >= 0) ? 1 : 0;
			withLease += (found >= 0) ? 1 : 0;
		}
		assertThat(situation + ": time to the first lease", firstLeaseMs, lessThanOrEqualTo(leaseLimitMs));
		assertThat(situation + ": changes of leader", changes, lessThanOrEqualTo(1));
		assertThat(situation + ": steps without a lease", steps - withLease, lessThanOrEqualTo(STEPS_PER_SECOND));
	}

	// Guards against heartbeats that wait behind the parts of snapshots for longer than a
	// lease, so that each leader is replaced and its successor starts the transfers anew.
	@ParameterizedTest
	@CsvSource({ "5, 2, false", "5, 2, true", "7, 3, false", "7, 3, true" })
	void aLeaderStaysWhileSnapshotsFillItsLinkAfterDisksAreLostAndAllOthersRestart(int size, int lostCount,
			boolean oneIsBehind) {
		// A replica that is behind must be caught up before a quorum holds a new entry.
		long leaseLimitMs = LEASE_LIMIT_MS + (oneIsBehind ? SNAPSHOT_BYTES / LINK_BYTES_PER_MS : 0);
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			SimulatedCluster cluster = startCluster(seed, size);
			cluster.nodes().forEach(SimulatedNode::compact);
			if (oneIsBehind) {
				cluster.leaveBehind(cluster.nodes().get(size - 1), WARM_UP_MS);
			}
			int accepted = cluster.acceptedCount();
			List<SimulatedNode> lost = cluster.nodes().subList(0, lostCount);
			cluster.restartAllWithout(lost, STARTUP_MS);
			checkOneLeaderStays(cluster, leaseLimitMs, "seed " + seed);
			assertThat(cluster.acceptedCount(), greaterThan(accepted));
			cluster.healAndConverge(TRANSFER_LIMIT_MS);
		}
	}

	// Guards against a learner that never counts as caught up while changes come faster
	// than its answers, so that a lost voter is not replaced.
	@Test
	void aDistantLearnerBecomesAVoterWhileChangesKeepComing() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			SimulatedCluster cluster = new SimulatedCluster(seed, 5, Defect.NONE);
			cluster.runWithoutFaults(WARM_UP_MS);
			SimulatedNode distant = cluster.nodes().get(0);
			cluster.moveAway(distant, 25);
			cluster.replaceDisk(distant);
			long endMs = cluster.nowMs() + 2 * WARM_UP_MS;
			while (cluster.nowMs() < endMs) {
				cluster.stepAndFindLease();
			}
			boolean voter = cluster.nodes()
				.stream()
				.anyMatch((node) -> node.replica().isLeader()
						&& node.replica().membership().voters().contains(distant.id()));
			assertThat("seed " + seed, voter, is(true));
		}
	}

}
